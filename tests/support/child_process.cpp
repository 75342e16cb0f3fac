#include "support/child_process.h"

#include <array>
#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace citronseam::harness {
namespace {

struct pipe_descriptors {
    int read_end{-1};
    int write_end{-1};
};

pipe_descriptors make_pipe() {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    return {ends[0], ends[1]};
}

} // namespace

child_process::child_process(std::vector<std::string> arguments) {
    const pipe_descriptors out = make_pipe();
    const pipe_descriptors err = make_pipe();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out.write_end, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, err.write_end, STDERR_FILENO);
    // A socket of the harness that a child inherited would stay open after the harness closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int spawn_error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(out.write_end);
    ::close(err.write_end);
    if (spawn_error != 0) {
        throw std::runtime_error("cannot start " + arguments.front());
    }
    output_reader_ = std::thread([this, out] { read_from(out.read_end, output_); });
    errors_reader_ = std::thread([this, err] { read_from(err.read_end, errors_); });
}

child_process::~child_process() {
    if (is_running()) {
        ::kill(pid_, SIGKILL);
        reap(true);
    }
    output_reader_.join();
    errors_reader_.join();
}

void child_process::read_from(int descriptor, std::string& destination) {
    std::array<char, 4096> buffer{};
    while (true) {
        const ssize_t size = ::read(descriptor, buffer.data(), buffer.size());
        if (size <= 0) {
            break;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        destination.append(buffer.data(), static_cast<std::size_t>(size));
        output_changed_.notify_all();
    }
    ::close(descriptor);
    const std::lock_guard<std::mutex> lock(mutex_);
    --open_pipe_count_;
    output_changed_.notify_all();
}

void child_process::send_signal(int signal) {
    if (!is_running()) {
        return;
    }
    ::kill(pid_, signal);
    if (signal == SIGSTOP) {
        // Until the thread that takes the signal is scheduled, all other threads still run. WNOWAIT
        // leaves an exit to reap().
        siginfo_t stopped_or_exited{};
        ::waitid(P_PID, static_cast<id_t>(pid_), &stopped_or_exited, WSTOPPED | WEXITED | WNOWAIT);
    }
}

bool child_process::reap(bool is_blocking) {
    if (has_exited_) {
        return true;
    }
    int status = 0;
    if (::waitpid(pid_, &status, is_blocking ? 0 : WNOHANG) != pid_) {
        return false;
    }
    has_exited_ = true;
    exit_code_ = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    return true;
}

bool child_process::is_running() {
    return !reap(false);
}

int child_process::wait_for_exit(milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!reap(false)) {
        if (std::chrono::steady_clock::now() > deadline) {
            return -1;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return exit_code_;
}

int child_process::wait_for_end_of_output(milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    {
        std::unique_lock<std::mutex> lock(mutex_);
        if (!output_changed_.wait_until(lock, deadline, [this] { return open_pipe_count_ == 0; })) {
            return -1;
        }
    }
    return wait_for_exit(
        std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now()));
}

std::string child_process::wait_for_line(const std::string& text, milliseconds timeout) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        const auto found = output_.find(text);
        const auto stop = found == std::string::npos ? found : output_.find('\n', found);
        if (stop != std::string::npos) {
            const auto before = output_.rfind('\n', found);
            const auto start = before == std::string::npos ? 0 : before + 1;
            return output_.substr(start, stop - start);
        }
        if (output_changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
            return {};
        }
    }
}

std::string child_process::output() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return output_;
}

std::string child_process::errors() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return errors_;
}

std::string log_field_value(const std::string& line, const std::string& key) {
    const auto start = line.find(" " + key + "=");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + key.size() + 2;
    return line.substr(value, line.find(' ', value) - value);
}

} // namespace citronseam::harness
