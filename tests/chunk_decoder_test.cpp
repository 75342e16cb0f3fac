// Chunked request bodies, without sockets.
#include <string>

#include <gtest/gtest.h>

#include "citronseam/connection/chunk_decoder.h"

namespace {

using namespace citronseam;

constexpr std::uint64_t body_limit = 16;

/// What became of a body and of the bytes after it.
struct decoded_body {
    chunk_status status{chunk_status::more};
    std::string body;
    std::string rest;

    bool operator==(const decoded_body&) const = default;
};

std::ostream& operator<<(std::ostream& out, const decoded_body& decoded) {
    return out << name(decoded.status) << " '" << decoded.body << "' rest '" << decoded.rest << "'";
}

/// Feeds bytes in parts that end at the given places.
decoded_body decode_parts(const std::string& bytes, std::size_t first_end, std::size_t second_end) {
    chunk_decoder decoder;
    decoder.body_limit = body_limit;
    std::size_t used = 0;
    for (const std::size_t end : {first_end, second_end, bytes.size()}) {
        if (decoder.status == chunk_status::more) {
            used += decode_chunks(decoder, std::string_view(bytes).substr(used, end - used));
        }
    }
    return {decoder.status, decoder.body, bytes.substr(used)};
}

decoded_body decode(const std::string& bytes) {
    return decode_parts(bytes, bytes.size(), bytes.size());
}

chunk_status status_of(const std::string& bytes) {
    return decode(bytes).status;
}

/// Feeds bytes in all ways to divide them into three parts.
void expect_in_all_parts(const std::string& bytes, const decoded_body& expected) {
    for (std::size_t first = 0; first <= bytes.size(); ++first) {
        for (std::size_t second = first; second <= bytes.size(); ++second) {
            ASSERT_EQ(decode_parts(bytes, first, second), expected) << first << " " << second;
        }
    }
}

// Guards against a body whose meaning depends on how the network divides it.
TEST(chunk_decoder, a_body_is_the_same_however_it_is_divided) {
    const std::string next = "GET / HTTP/1.1\r\n\r\n";
    expect_in_all_parts("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n" + next,
                        {chunk_status::whole, "abcdef", next});
    expect_in_all_parts(
        "00A;a=\"b;c\" ;d\r\n0\r\n\r\n0\r\n\r\n\r\n000 ;e\r\nX-T: 1\r\nY:\r\n\r\n\r\n",
        {chunk_status::whole, "0\r\n\r\n0\r\n\r\n", "\r\n"});
    expect_in_all_parts("a\r\n0123456789\r\n6\r\nabcdef\r\n0\r\n\r\n",
                        {chunk_status::whole, "0123456789abcdef", ""});
    expect_in_all_parts("0\r\n\r\n", {chunk_status::whole, "", ""});
}

// Guards against a body that ends before its empty line.
TEST(chunk_decoder, a_body_that_is_cut_off_is_not_whole) {
    const std::string bytes = "3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n";
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_EQ(status_of(bytes.substr(0, size)), chunk_status::more) << size;
    }
    EXPECT_EQ(status_of(bytes), chunk_status::whole);
}

// Guards against sizes and line ends that two readers take differently.
TEST(chunk_decoder, malformed_bodies_are_noticed) {
    for (const char* bytes : {"zz\r\n",
                              "3x\r\nabc\r\n",
                              "-3\r\nabc\r\n",
                              "+3\r\nabc\r\n",
                              "0x3\r\nabc\r\n",
                              " 3\r\n",
                              "3 \r\nabc\r\n",
                              "\r\n",
                              ";a\r\n",
                              "3\nabc\r\n",
                              "3\r\r\nabc",
                              "3;a\nabc\r\n",
                              "3;a\rb\r\n",
                              "3;\x01\r\nabc",
                              "3\r\nabcd\r\n",
                              "3\r\nabc0\r\n",
                              "3\r\nabc\n0\r\n",
                              "3\r\nabc\r0\r\n",
                              "0\r\n\n",
                              "0\r\n\r\r\n",
                              "0\n\r\n",
                              "0\r\nX: 1\n\r\n",
                              "0\r\nX: 1\r2\r\n",
                              "0\r\n: 1\r\n",
                              "0\r\nX\r\n",
                              "0\r\n X: 1\r\n",
                              "0\r\nX : 1\r\n",
                              "0\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
                              "ffffffffffffffff3\r\nabc\r\n",
                              "00000000000000003\r\nabc\r\n"}) {
        EXPECT_EQ(status_of(bytes), chunk_status::malformed) << bytes;
    }
    EXPECT_EQ(status_of(std::string("0\r\nX: \0\r\n\r\n", 11)), chunk_status::malformed);
}

// Guards against bytes that are decoded after a fault.
TEST(chunk_decoder, nothing_is_decoded_after_a_fault) {
    chunk_decoder decoder;
    decoder.body_limit = body_limit;
    EXPECT_EQ(decode_chunks(decoder, "3\r\nabcX"), 7U);
    EXPECT_EQ(decode_chunks(decoder, "0\r\n\r\n"), 0U);
    EXPECT_EQ(decoder.status, chunk_status::malformed);
}

// Guards against bodies over the limit, also where the sum of sizes exceeds 64 bits.
TEST(chunk_decoder, a_body_over_its_limit_is_too_long_before_its_data_arrive) {
    EXPECT_EQ(status_of("11\r\n"), chunk_status::too_long);
    EXPECT_EQ(status_of("ffffffffffffffff\r\n"), chunk_status::too_long);
    EXPECT_EQ(status_of("1\r\na\r\nffffffffffffffff\r\n"), chunk_status::too_long);
    EXPECT_EQ(status_of("10\r\n0123456789abcdef\r\n1\r\n"), chunk_status::too_long);
    EXPECT_EQ(status_of("10\r\n0123456789abcdef\r\n0\r\n\r\n"), chunk_status::whole);
}

// Guards against extensions and trailers without end.
TEST(chunk_decoder, extensions_and_trailers_are_bounded) {
    const std::string chunk = "1;" + std::string(max_chunk_extension_bytes / 2, 'x') + "\r\na\r\n";
    EXPECT_EQ(status_of(chunk + chunk + "0\r\n\r\n"), chunk_status::whole);
    EXPECT_EQ(status_of(chunk + chunk + "0;x\r\n\r\n"), chunk_status::malformed);
    EXPECT_EQ(status_of("0" + std::string(max_chunk_extension_bytes + 2, ' ')),
              chunk_status::malformed);
    const std::string field = "X:" + std::string(max_trailer_bytes / 2 - 4, 'x') + "\r\n";
    EXPECT_EQ(status_of("0\r\n" + field + field + "\r\n"), chunk_status::whole);
    EXPECT_EQ(status_of("0\r\n" + field + field + "XXXXXXX"), chunk_status::malformed);
    EXPECT_EQ(status_of("0\r\n" + std::string(max_trailer_bytes + 1, 'X')),
              chunk_status::malformed);
}

} // namespace
