// Signals that arrive while a process starts.
#include <csignal>
#include <fstream>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include <sys/stat.h>
#include <unistd.h>

#include "support/child_process.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr int invalid_settings = 2;
constexpr milliseconds delivery_time{100};
constexpr milliseconds exit_timeout{5000};

// Guards against a process that ends since its settings changed while it was starting.
TEST(process_start, reload_signal_during_the_start_does_not_end_the_process) {
    const std::string path = "/tmp/citronseam-start-" + std::to_string(::getpid()) + ".yaml";
    std::signal(SIGPIPE, SIG_IGN); // in case the process has ended
    ASSERT_EQ(::mkfifo(path.c_str(), S_IRUSR | S_IWUSR), 0);
    child_process process({std::string(CITRONSEAM_BIN_DIR) + "/citronseamd", "--settings", path});
    // Opening it for writing waits until the process has opened it for reading.
    std::ofstream settings(path);
    process.send_signal(SIGHUP);
    std::this_thread::sleep_for(delivery_time);
    settings << "role: none\n";
    settings.close();
    EXPECT_EQ(process.wait_for_exit(exit_timeout), invalid_settings) << process.errors();
    ::unlink(path.c_str());
}

} // namespace
