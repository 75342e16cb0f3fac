#include "programs/daemon/settings_file.h"

#include <fstream>
#include <sstream>

namespace citronseam {

file_result<settings> read_settings_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        file_result<settings> failed;
        failed.problems.push_back({path, 0, "", "the file cannot be read"});
        return failed;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), path);
}

} // namespace citronseam
