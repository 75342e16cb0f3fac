/// @file
/// What a case saw: a line for each thing that was sent, answered, run or done.
#ifndef CITRONSEAM_REVIEW_RECORD_H
#define CITRONSEAM_REVIEW_RECORD_H

#include <fstream>
#include <mutex>
#include <string>

#include "citronseam/process/clock.h"

namespace citronseam::review {

class record {
public:
    explicit record(const std::string& path);
    /// Writes a line with the time since the start of the case. Thread-safe.
    void write(const std::string& line);
    /// @return milliseconds since the start of the case
    double now_ms() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    time_point started_at_{std::chrono::steady_clock::now()};
};

} // namespace citronseam::review

#endif
