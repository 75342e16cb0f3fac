#include "support/weight_origin.h"

#include "citronseam/version/sha256.h"
#include "support/standin_http.h"

namespace citronseam::harness {
namespace {

using nlohmann::json;

} // namespace

weight_origin::weight_origin()
    : server_(start_server(
          [this](const server_request& request, const std::shared_ptr<http_responder>& responder) {
              handle(request, *responder);
          })) {}

std::string weight_origin::address() const {
    return loopback_address(server_->port());
}

std::string weight_origin::piece(std::uint64_t version, std::size_t index) {
    std::string content = std::to_string(version) + ":" + std::to_string(index) + ":";
    content.resize(piece_bytes, static_cast<char>('a' + (version + index) % 26));
    return content;
}

void weight_origin::set_list_editor(list_editor edit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    edit_ = std::move(edit);
}

void weight_origin::answer_list(std::uint64_t version, http_responder& responder) {
    json digests = json::array();
    for (std::size_t i = 0; i < piece_count; ++i) {
        digests.push_back(sha256_hex(piece(version, i)));
    }
    json list = {{"model", standin_model},
                 {"version", version},
                 {"chunk_bytes", piece_bytes},
                 {"layers", 1},
                 {"digests", digests}};
    const std::lock_guard<std::mutex> lock(mutex_);
    ++lists_sent;
    const bool is_answered = !edit_ || edit_(version, list);
    send_json(responder, is_answered ? 200 : 503, is_answered ? list : json::object());
}

void weight_origin::handle(const server_request& request, http_responder& responder) {
    const std::uint64_t version = parse_number(query_parameter(request, "version"));
    if (is_down) {
        responder.abort();
    } else if (request.path == std::string("/manifest/") + standin_model) {
        answer_list(version, responder);
    } else {
        ++pieces_sent;
        responder.respond(200, {},
                          piece(version, parse_number(query_parameter(request, "sample_count"))));
    }
}

} // namespace citronseam::harness
