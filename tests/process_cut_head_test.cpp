// Answers of backend servers that are cut off, at a gateway on a simulated platform.
#include <memory>

#include <gtest/gtest.h>

#include "support/platform_world.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* raw_desk = "raw-desk";
constexpr const char* sealed_head =
    "HTTP/1.1 200 OK\r\nX-Citronseam-Response-Seal: seal-of-raw\r\n";
constexpr const char* refusal_head = "HTTP/1.1 503 Service Unavailable\r\n"
                                     "X-Citronseam-Not-Executed: 1\r\n";
constexpr milliseconds listing_timeout{5000};

struct named_cut {
    const char* name;
    const char* last_bytes; ///< what the server still sends of its head
};

std::ostream& operator<<(std::ostream& out, const named_cut& cut) {
    return out << cut.name;
}

/// A gateway whose service `desk` has one server, which stops inside the head of its answer and
/// closes the connection.
class cut_heads : public ::testing::TestWithParam<named_cut> {
protected:
    void start(const std::string& answer) {
        desk = std::make_unique<raw_server>([answer](const std::string&) { return answer; });
        for (const auto& server : world.plain_servers) {
            world.store.remove("servers", server->id());
        }
        world.put_foreign_server_row(raw_desk, desk->address(), "desk");
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_NE(world.gateway(0).wait_for_line(raw_desk, listing_timeout), "");
    }

    http_response call(const std::string& method, const std::string& path) {
        return world.call(0, method, path,
                          {{"Authorization", std::string("Token ") + platform_world::api_key}});
    }

    platform_world world;
    std::unique_ptr<raw_server> desk;
};

// Guards against MIXED: an empty answer that looks complete, since its server stopped inside its
// head.
TEST_P(cut_heads, are_no_answer) {
    start(std::string(sealed_head) + GetParam().last_bytes);
    for (const auto* path : {"/book/1", "/look/1"}) {
        const auto answer = call(path[1] == 'b' ? "POST" : "GET", path);
        EXPECT_EQ(answer.outcome.status, 502) << answer.body;
        EXPECT_EQ(find_header(answer.headers, "X-Citronseam-Response-Seal"), "");
    }
    EXPECT_EQ(desk->request_count(), 2) << "each request reaches the only server once";
}

// Guards against REFUSED: a refusal that was not received whole counts as a promise.
TEST_P(cut_heads, are_no_refusal) {
    start(std::string(refusal_head) + GetParam().last_bytes);
    const auto answer = call("POST", "/book/1");
    EXPECT_EQ(answer.outcome.status, 502) << answer.body;
    EXPECT_EQ(desk->request_count(), 1);
}

INSTANTIATE_TEST_SUITE_P(cuts, cut_heads,
                         ::testing::Values(named_cut{"after_a_field", ""},
                                           named_cut{"inside_a_name", "Content-Len"},
                                           named_cut{"inside_a_length", "Content-Length: 1"},
                                           named_cut{"inside_the_empty_line", "\r"}),
                         [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
