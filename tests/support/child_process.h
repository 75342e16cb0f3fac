/// @file
/// A process that a test started.
#ifndef CITRONSEAM_TESTS_SUPPORT_CHILD_PROCESS_H
#define CITRONSEAM_TESTS_SUPPORT_CHILD_PROCESS_H

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "citronseam/process/clock.h"

namespace citronseam::harness {

/// Starts a program, reads what it prints, and ends it by pid on destruction.
class child_process {
public:
    /// @param arguments program and its arguments
    explicit child_process(std::vector<std::string> arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @return process number
    int pid() const noexcept { return pid_; }
    /// Sends a signal: SIGKILL, SIGSTOP, SIGCONT, SIGTERM.
    void send_signal(int signal);
    /// Waits for the end.
    /// @return exit code, 128 + signal when a signal ended it, -1 when it still ran after the bound
    int wait(milliseconds bound);
    /// @return whether it still runs
    bool is_running();

    /// Waits for a line that holds `text`.
    /// @return the line, empty when it did not come within the bound
    std::string wait_for_line(const std::string& text, milliseconds bound);
    /// @return everything printed to the standard output so far
    std::string output() const;
    /// @return everything printed to the standard error stream so far
    std::string errors() const;

private:
    void read_from(int descriptor, std::string& into);
    bool reap(bool is_blocking);

    int pid_{-1};
    int status_{-1};
    bool is_ended_{false};
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string output_;
    std::string errors_;
    std::thread output_reader_;
    std::thread errors_reader_;
};

/// @return the value of `key=` in a log line
std::string log_value(const std::string& line, const std::string& key);

} // namespace citronseam::harness

#endif
