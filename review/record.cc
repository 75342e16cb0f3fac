#include "record.hh"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace citronseam::review {

record::record(const std::string& path) : file_(path) {}

double record::now_ms() const {
    const auto elapsed = std::chrono::steady_clock::now() - started_at_;
    return std::chrono::duration<double, std::milli>(elapsed).count();
}

void record::write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream time;
    time << std::fixed << std::setprecision(1) << now_ms();
    file_ << time.str() << " ms  " << line << std::endl;
}

} // namespace citronseam::review
