// Messages between processes that do not depend on requests.
#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "programs/node/member_mesh.h"
#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds connect_timeout{5000};
constexpr milliseconds measured_time{3000};
constexpr milliseconds reply_timeout{3000};

/// One process with its own loop, so that several share a test.
class mesh_process {
public:
    mesh_process(const std::string& instance, process_role role, const std::string& zone)
        : mesh_(std::make_shared<member_mesh>(loop_, make_self(instance, role, zone), mesh_timing{},
                                              make_observer())) {}
    ~mesh_process() {
        loop_.post([this] { mesh_->stop(); });
        loop_.stop();
    }
    mesh_process(const mesh_process&) = delete;
    mesh_process& operator=(const mesh_process&) = delete;

    void listen(const std::string& address) {
        loop_.post([this, address] { mesh_->listen(*parse_host_port(address)); });
    }
    void dial(const std::string& address) {
        loop_.post([this, address] { mesh_->set_targets({{address, address}}); });
    }
    /// Reports at once, as a sidecar does when the load of its engine changes.
    void report() {
        loop_.post([this] { mesh_->broadcast({}, false); });
    }
    void request_neighbours(std::uint64_t known) {
        loop_.post([this, known] {
            mesh_->request_neighbours(*mesh_->members().front(), "drafts", known);
        });
    }

    std::atomic<int> connected{0};
    std::atomic<int> beats{0}; ///< received
    std::atomic<int> replies{0};
    std::atomic<int> unchanged_replies{0};
    std::atomic<int> listed{0}; ///< in the last reply
    std::atomic<std::uint64_t> fingerprint{0};

private:
    static member make_self(const std::string& instance, process_role role,
                            const std::string& zone) {
        member self;
        self.instance = instance;
        self.role = role;
        self.zone = zone;
        self.region = zone;
        self.service = "drafts";
        self.incarnation = 1;
        return self;
    }

    mesh_observer make_observer() {
        mesh_observer observer;
        observer.on_members_changed = [this] {
            connected = static_cast<int>(mesh_->members().size());
        };
        observer.on_heartbeat = [this](const connected_member&, const wire::member_beat&) {
            ++beats;
        };
        observer.on_neighbours_reply = [this](const wire::neighbours_reply& reply) {
            unchanged_replies += reply.is_unchanged() ? 1 : 0;
            listed =
                reply.neighbours() == nullptr ? 0 : static_cast<int>(reply.neighbours()->size());
            fingerprint = reply.fingerprint();
            ++replies;
        };
        return observer;
    }

    io_thread_pool loop_{1};
    std::shared_ptr<member_mesh> mesh_;
};

class mesh_traffic : public ::testing::Test {
protected:
    void SetUp() override {
        gateway.listen(address);
        for (auto* sidecar : {&near, &far}) {
            sidecar->dial(address);
        }
        ASSERT_TRUE(wait_until([this] { return gateway.connected == 2; }, connect_timeout));
    }

    /// @return the reply to a request for the list
    void request(std::uint64_t known) {
        const int before = near.replies;
        near.request_neighbours(known);
        ASSERT_TRUE(wait_until([&] { return near.replies > before; }, reply_timeout));
    }

    const std::string address = "127.0.0.1:" + std::to_string(free_port());
    mesh_process gateway{"gateway-a", process_role::gateway, "zone-a"};
    mesh_process near{"sidecar-a", process_role::sidecar, "zone-a"};
    mesh_process far{"sidecar-b", process_role::sidecar, "zone-b"};
};

// Pattern: a fleet at rest. Heartbeats between all pairs of zones took a part of the scarce links
// between regions that grows with the square of the fleet.
TEST_F(mesh_traffic, heartbeats_to_other_zones_are_half_as_many) {
    const int near_before = near.beats;
    const int far_before = far.beats;
    std::this_thread::sleep_for(measured_time);
    const int near_beats = near.beats - near_before;
    const int far_beats = far.beats - far_before;
    EXPECT_GE(far_beats, 2);
    EXPECT_LE(far_beats, 4);
    EXPECT_GE(near_beats, far_beats + 2);
}

// Pattern: a sidecar that reports the load of its engine. Each report came on top of a heartbeat.
TEST_F(mesh_traffic, report_replaces_the_next_heartbeat) {
    constexpr milliseconds report_interval{200};
    const int before = gateway.beats;
    int reports = 0;
    const auto end = std::chrono::steady_clock::now() + measured_time;
    while (std::chrono::steady_clock::now() < end) {
        near.report();
        far.report();
        ++reports;
        std::this_thread::sleep_for(report_interval);
    }
    EXPECT_LE(gateway.beats - before, 2 * (reports + 1));
}

// Pattern: a fleet at rest. Each sidecar was sent the whole list of processes twice a second.
TEST_F(mesh_traffic, list_of_processes_is_sent_again_only_when_it_has_changed) {
    ASSERT_NO_FATAL_FAILURE(request(0));
    EXPECT_EQ(near.listed, 2);
    ASSERT_NO_FATAL_FAILURE(request(near.fingerprint));
    EXPECT_EQ(near.unchanged_replies, 1);
    EXPECT_EQ(near.listed, 0);
    mesh_process added("sidecar-c", process_role::sidecar, "zone-a");
    added.dial(address);
    ASSERT_TRUE(wait_until([this] { return gateway.connected == 3; }, connect_timeout));
    ASSERT_NO_FATAL_FAILURE(request(near.fingerprint));
    EXPECT_EQ(near.unchanged_replies, 1);
    EXPECT_EQ(near.listed, 3);
}

} // namespace
