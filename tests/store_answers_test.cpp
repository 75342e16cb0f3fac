// Answers of the stores that come twice, are cut off or leave out what they must state.
#include <functional>
#include <future>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/table_client.h"
#include "citronseam/process/metrics.h"
#include "platform/store.h"
#include "programs/node/store_client.h"
#include "support/invalid_statuses.h"
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
constexpr milliseconds call_timeout{2000};
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

/// Calls a function that takes a handler, and waits for the outcome.
template<typename Value, typename Call>
result<Value> wait_for(Call call) {
    std::promise<result<Value>> promise;
    call([&promise](const result<Value>& outcome) { promise.set_value(outcome); });
    return promise.get_future().get();
}

/// Reads a row from a table service that answers with these bytes.
result<table_row> read_row(const std::string& answer) {
    raw_server server([answer](const std::string&) { return answer; });
    http_client http;
    table_client client(http, "http://" + server.address(), "http://" + server.address(),
                        call_timeout);
    return wait_for<table_row>([&](auto done) { client.read("t", "k", done); });
}

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

// Guards against a table that counts as read whole although the store says that it has more rows.
TEST(platform_store, page_that_says_more_and_names_no_row_is_unreadable) {
    http_response response;
    response.outcome.is_complete = true;
    response.outcome.status = 200;
    response.body = R"({"records":[],"has_more":true,"ver":9})";
    EXPECT_FALSE(platform::parse_rows(response, "servers").has_value());
    response.body = R"({"records":[],"has_more":false,"ver":9})";
    EXPECT_TRUE(platform::parse_rows(response, "servers").has_value());
}

// Guards against a table that counts as read whole although no page said that it is the last one:
// all rows that it does not name would count as gone.
TEST(platform_store, table_is_whole_only_if_its_last_page_says_so) {
    for (const auto& [page, outcome] :
         {std::pair{R"({"records":[],"ver":9})", platform::store_outcome::unknown},
          std::pair{R"({"records":[],"has_more":false,"ver":9})", platform::store_outcome::done}}) {
        raw_server server(
            [page = std::string(page)](const std::string&) { return with_length(page); });
        io_thread_pool control(1);
        http_client http;
        metrics metric_registry;
        store_client store(control, http, metric_registry, server.address());
        std::promise<platform::store_outcome> promise;
        control.post([&] {
            store.read_table("servers", [&](platform::store_outcome read, const row_batch&) {
                promise.set_value(read);
            });
        });
        EXPECT_EQ(promise.get_future().get(), outcome) << page;
        control.stop();
    }
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

// Guards against a row that counts as written since its answer was empty or cut off.
TEST(platform_store, write_is_done_only_with_its_version) {
    using platform::store_outcome;
    http_client http;
    const auto write = [&http](const std::string& answer) {
        raw_server server([answer](const std::string&) { return answer; });
        const auto request =
            platform::make_write_request("http://" + server.address(), "t", "k", "v");
        return platform::parse_write_outcome(fetch_blocking(http, request, max_page_bytes));
    };
    const std::string body = R"({"ver":412,"server_time_ms":51230})";
    EXPECT_EQ(write(with_length(body)), store_outcome::done);
    EXPECT_EQ(write(with_length("")), store_outcome::unknown);
    for (std::size_t size = 0; size < body.size(); ++size) {
        EXPECT_EQ(write(without_length(body.substr(0, size))), store_outcome::unknown) << size;
    }
}

// Guards against a row's value that is another's, which came twice.
TEST(table_client, late_second_row_is_not_the_next_one) {
    stuttering_store store(with_length("first", "ETag: a\r\n"), with_length("next", "ETag: b\r\n"));
    http_client http;
    const std::string url = "http://" + store.address();
    table_client client(http, url, url, call_timeout);
    for (const auto* value : {"first", "next"}) {
        const auto row = wait_for<table_row>([&](auto done) { client.read("t", value, done); });
        ASSERT_TRUE(row.has_value()) << row.error().message;
        EXPECT_EQ(row->value, value);
    }
}

// Guards against an object that counts as stored since an earlier one's answer came twice.
TEST(table_client, late_second_answer_is_not_the_next_objects) {
    stuttering_store store(with_length(""), "HTTP/1.1 507 Full\r\nContent-Length: 0\r\n\r\n");
    http_client http;
    const std::string url = "http://" + store.address();
    table_client client(http, url, url, call_timeout);
    EXPECT_TRUE(
        wait_for<std::string>([&](auto done) { client.put_object("a", "1", done); }).has_value());
    EXPECT_FALSE(
        wait_for<std::string>([&](auto done) { client.put_object("b", "2", done); }).has_value());
}

// Guards against an object that counts as removed since a "not found" began to arrive.
TEST(table_client, cut_not_found_does_not_show_that_an_object_is_removed) {
    raw_server server(
        [](const std::string&) -> std::string { return "HTTP/1.1 404 Not Found\r\nContent-"; });
    http_client http;
    const std::string url = "http://" + server.address();
    table_client client(http, url, url, call_timeout);
    EXPECT_FALSE(
        wait_for<std::string>([&](auto done) { client.remove_object("o", done); }).has_value());
}

// Guards against a value that was cut off and is taken for the row's.
TEST(table_client, value_whose_end_is_not_stated_is_unread) {
    EXPECT_TRUE(read_row(with_length("value", "ETag: a\r\n")).has_value());
    EXPECT_FALSE(read_row(without_length("val", "ETag: a\r\n")).has_value());
    EXPECT_FALSE(read_row(without_length("", "ETag: a\r\n")).has_value());
}

// Guards against an object, such as a stored response, that was cut off and is taken for whole.
TEST(table_client, object_whose_end_is_not_stated_is_unread) {
    raw_server server([](const std::string&) { return without_length("obj"); });
    http_client http;
    const std::string url = "http://" + server.address();
    table_client client(http, url, url, call_timeout);
    EXPECT_FALSE(
        wait_for<std::string>([&](auto done) { client.get_object("o", done); }).has_value());
}

// Guards against a row without a tag: what is written under it is taken for kept although the
// condition failed.
TEST(table_client, row_without_a_tag_is_neither_read_nor_written) {
    EXPECT_FALSE(read_row(with_length("value")).has_value());
    raw_server server([](const std::string&) { return with_length(""); });
    http_client http;
    const std::string url = "http://" + server.address();
    table_client client(http, url, url, call_timeout);
    const auto written =
        wait_for<table_row>([&](auto done) { client.insert("t", "k", "value", done); });
    ASSERT_FALSE(written.has_value());
    EXPECT_EQ(written.error().code, error_code::outcome_unknown);
}

class invalid_store_statuses : public ::testing::TestWithParam<interim_prefix> {
protected:
    /// Calls a function for each invalid status with the address of a server that answers so. Where
    /// the library hands a status on, the body and the headers are those of a success.
    static void for_each_status(const std::string& body,
                                const std::function<void(const std::string&, const char*)>& call) {
        for (const auto& invalid : invalid_statuses) {
            raw_server server([&](const std::string&) {
                return GetParam().bytes + std::string(invalid.line) +
                       "\r\nETag: a\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
            });
            call("http://" + server.address(), invalid.line);
        }
    }
};

// Guards against rows that are taken from an answer whose status no answer may have.
TEST_P(invalid_store_statuses, are_no_pages) {
    http_client http;
    for_each_status(whole_page, [&](const std::string& url, const char* line) {
        for (const auto& request :
             {platform::make_read_request(url, "servers", "", ""),
              platform::make_watch_request(url, "servers", 1, milliseconds(1))}) {
            const auto response = fetch_blocking(http, request, max_page_bytes);
            EXPECT_FALSE(response.outcome.is_complete) << line;
            EXPECT_FALSE(platform::parse_rows(response, "servers").has_value()) << line;
        }
    });
}

// Guards against a write that counts as done, or as refused, by such an answer.
TEST_P(invalid_store_statuses, leave_a_write_unknown) {
    http_client http;
    for_each_status(
        R"({"ver":412,"server_time_ms":51230})", [&](const std::string& url, const char* line) {
            const auto request = platform::make_write_request(url, "t", "k", "v");
            EXPECT_EQ(platform::parse_write_outcome(fetch_blocking(http, request, max_page_bytes)),
                      platform::store_outcome::unknown)
                << line;
        });
}

// Guards against rows and objects of the other store that are read from, or written by, such an
// answer.
TEST_P(invalid_store_statuses, are_no_rows_or_objects) {
    http_client http;
    for_each_status("value", [&](const std::string& url, const char* line) {
        table_client client(http, url, url, call_timeout);
        const auto read = wait_for<table_row>([&](auto done) { client.read("t", "k", done); });
        EXPECT_FALSE(read.has_value()) << line;
        const auto inserted =
            wait_for<table_row>([&](auto done) { client.insert("t", "k", "value", done); });
        ASSERT_FALSE(inserted.has_value()) << line;
        EXPECT_EQ(inserted.error().code, error_code::outcome_unknown) << line;
        EXPECT_FALSE(wait_for<std::string>([&](auto done) { client.get_object("o", done); }))
            << line;
        EXPECT_FALSE(wait_for<std::string>([&](auto done) { client.put_object("o", "1", done); }))
            << line;
        EXPECT_FALSE(wait_for<std::string>([&](auto done) { client.remove_object("o", done); }))
            << line;
    });
}

INSTANTIATE_TEST_SUITE_P(platform_store, invalid_store_statuses,
                         ::testing::ValuesIn(interim_prefixes),
                         [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
