/// @file
/// A child process with captured output.
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

/// Starts a program and captures its standard output and standard error. The destructor kills the
/// process by its pid.
class child_process {
public:
    /// @param arguments path of the program, followed by its arguments
    explicit child_process(std::vector<std::string> arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @return process ID
    int pid() const noexcept { return pid_; }
    /// Sends a signal if the process still runs. After SIGSTOP, waits until all its threads have
    /// stopped.
    void send_signal(int signal);
    /// Waits until the process exits.
    /// @return exit code, 128 + signal number if a signal ended it, -1 on timeout
    int wait_for_exit(milliseconds timeout);
    /// Waits until the process has exited and all that it wrote was read.
    /// @return exit code, 128 + signal number if a signal ended it, -1 on timeout
    int wait_for_end_of_output(milliseconds timeout);
    /// @return whether the process still runs
    bool is_running();

    /// Waits for a line on standard output that contains `text`.
    /// @return the line, or empty on timeout
    std::string wait_for_line(const std::string& text, milliseconds timeout);
    /// @return standard output so far
    std::string output() const;
    /// @return standard error so far
    std::string errors() const;

private:
    void read_from(int descriptor, std::string& destination);
    bool reap(bool is_blocking);

    int pid_{-1};
    int exit_code_{-1};
    bool has_exited_{false};
    mutable std::mutex mutex_;
    std::condition_variable output_changed_;
    std::string output_;
    std::string errors_;
    int open_pipe_count_{2};
    std::thread output_reader_;
    std::thread errors_reader_;
};

/// @return the value of `key=` in a log line, or empty if it is missing
std::string log_field_value(const std::string& line, const std::string& key);

} // namespace citronseam::harness

#endif
