// Answers of the stores that come twice, are cut off or leave out what they must state.
#include <string>

#include <gtest/gtest.h>

#include "platform/store.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* empty_page = R"({"records":[],"ver":9})";
constexpr const char* whole_page =
    R"({"records":[{"table":"servers","part":"","key":"a","value":"YQ==","ver":4}],"ver":9})";
constexpr const char* page_of_other_table =
    R"({"records":[{"table":"op","part":"","key":"a","value":"YQ==","ver":4}],"ver":9})";
constexpr milliseconds late_delay{100};
constexpr std::size_t max_page_bytes = 1U << 20U;

std::string with_length(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string without_length(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
}

/// A store that sends its first answer twice and is silent on that connection from then on.
class stuttering_store {
public:
    stuttering_store(std::string first, std::string next)
        : first_(std::move(first)), next_(std::move(next)) {}

    std::string address() const { return server_.address(); }

private:
    raw_answer answer() const {
        if (server_.request_count() == 1) {
            return {first_, raw_ending::keep, first_, late_delay};
        }
        return {server_.connection_count() > 1 ? next_ : "", raw_ending::keep, {}, {}};
    }

    std::string first_;
    std::string next_;
    raw_server server_{[this](const std::string&) { return answer(); }};
};

// Guards against a table that counts as empty since an empty answer to an earlier call came twice.
TEST(platform_store, late_second_answer_is_not_the_next_calls) {
    stuttering_store store(with_length(empty_page), with_length(whole_page));
    const std::string url = "http://" + store.address();
    http_client http;
    const auto feed = fetch_blocking(
        http, platform::make_watch_request(url, "servers", 1, milliseconds(1)), max_page_bytes);
    ASSERT_TRUE(platform::parse_rows(feed, "servers").has_value());
    const auto read =
        fetch_blocking(http, platform::make_read_request(url, "servers", "", ""), max_page_bytes);
    const auto page = platform::parse_rows(read, "servers");
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->batch.rows.size(), 1U);
}

// Guards against changes that are skipped since a feed took the answer to an earlier one.
TEST(platform_store, late_second_answer_is_not_the_next_feeds) {
    stuttering_store store(with_length(empty_page), with_length(whole_page));
    const std::string url = "http://" + store.address();
    http_client http;
    for (const std::size_t rows : {0U, 1U}) {
        const auto feed = fetch_blocking(
            http, platform::make_watch_request(url, "servers", 1, milliseconds(1)), max_page_bytes);
        const auto page = platform::parse_rows(feed, "servers");
        ASSERT_TRUE(page.has_value());
        EXPECT_EQ(page->batch.rows.size(), rows);
    }
}

// Guards against rows that are taken for those of a table that was not read.
TEST(platform_store, rows_of_another_table_are_unreadable) {
    http_response response;
    response.outcome.is_complete = true;
    response.outcome.status = 200;
    response.body = page_of_other_table;
    EXPECT_FALSE(platform::parse_rows(response, "servers").has_value());
    EXPECT_TRUE(platform::parse_rows(response, "op").has_value());
}

// Guards against "no rows" that was concluded from an answer that is empty or cut off.
TEST(platform_store, no_cut_answer_is_a_page) {
    const std::string page = whole_page;
    for (std::size_t size = 0; size < page.size(); ++size) {
        raw_server server(
            [cut = page.substr(0, size)](const std::string&) { return without_length(cut); });
        http_client http;
        const auto response = fetch_blocking(
            http, platform::make_read_request("http://" + server.address(), "servers", "", ""),
            max_page_bytes);
        EXPECT_FALSE(platform::parse_rows(response, "servers").has_value()) << size;
    }
}

} // namespace
