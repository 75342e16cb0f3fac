#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace citronseam::measurement {

process_usage read_usage(int pid) {
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string ignored_field;
    constexpr int fields_before_times = 11;
    for (int i = 0; i < fields_before_times; ++i) {
        fields >> ignored_field;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    process_usage usage;
    usage.cpu_seconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            usage.memory_mib = std::stod(line.substr(6)) / 1024;
        }
    }
    for (const auto& thread :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        std::ifstream thread_status(thread.path() / "status");
        constexpr std::string_view name = "voluntary_ctxt_switches:";
        for (std::string line; std::getline(thread_status, line);) {
            if (line.rfind(name, 0) == 0) {
                usage.voluntary_context_switches += std::stod(line.substr(name.size()));
            }
        }
    }
    return usage;
}

double read_scheduled_seconds(int pid) {
    constexpr double nanoseconds_per_second = 1e9;
    double nanoseconds = 0;
    for (const auto& thread :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        std::ifstream file(thread.path() / "schedstat");
        double thread_ns = 0;
        if (file >> thread_ns) {
            nanoseconds += thread_ns;
        }
    }
    return nanoseconds / nanoseconds_per_second;
}

} // namespace citronseam::measurement
