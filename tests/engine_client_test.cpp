// Responses of a model engine that come twice, at the functions that an agent calls it with.
#include <future>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "programs/agent/engine_client.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* done_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr const char* incomplete_response =
    "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 2\r\n\r\n{}";
constexpr milliseconds late_delay{100};
constexpr milliseconds load_timeout{2000};

// Guards against a load that counts as finished since the response to a chunk came once more.
TEST(engine_client, late_second_response_to_a_chunk_is_not_the_loads) {
    raw_server* server = nullptr;
    raw_server engine([&server](const std::string& head) {
        if (head.rfind("PUT ", 0) == 0) {
            return raw_answer{done_response, raw_ending::keep, done_response, late_delay};
        }
        const bool is_same_connection = server->connection_count() == 1;
        return raw_answer{is_same_connection ? "" : incomplete_response, raw_ending::keep, {}, {}};
    });
    server = &engine;
    http_client http;
    std::promise<result<bool>> uploaded;
    upload_chunk(http, engine.address(), "v", 0, "bytes",
                 [&](const result<bool>& outcome) { uploaded.set_value(outcome); });
    ASSERT_TRUE(uploaded.get_future().get().has_value());
    std::promise<result<bool>> loaded;
    request_load(http, engine.address(), {}, load_timeout,
                 [&](const result<bool>& outcome) { loaded.set_value(outcome); });
    const auto outcome = loaded.get_future().get();
    ASSERT_FALSE(outcome.has_value()) << "the load counts as finished";
    EXPECT_EQ(outcome.error().code, error_code::corrupt);
}

} // namespace
