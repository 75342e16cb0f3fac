#include "programs/entry/caller_request_handler.h"

#include <nlohmann/json.hpp>

#include "programs/daemon/operator_server.h"
#include "programs/entry/caller_request_parser.h"

namespace citronseam {

caller_request_handler::caller_request_handler(entry_context& context, const entry_mesh& mesh,
                                               std::uint64_t incarnation)
    : context_(context), mesh_(mesh), incarnation_(incarnation) {}

void caller_request_handler::set_address(std::string address) {
    address_ = std::move(address);
}

std::string caller_request_handler::find_other_entry() const {
    for (const auto& other : mesh_.list()) {
        if (!other.is_leaving) {
            return other.address.http_address;
        }
    }
    return {};
}

void caller_request_handler::handle(server_request request,
                                    std::shared_ptr<http_responder> responder) {
    if (request.path == "/v1/entries") {
        send_entry_list(request, *responder);
        return;
    }
    if (request.path == "/healthz") {
        responder->respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
        return;
    }
    if (is_leaving_) {
        redirect_to_other_entry(request, *responder);
        return;
    }
    const control_view view = context_.state_sync.view();
    if (view->accepted == nullptr) {
        refuse(*responder, refusal::not_ready, "no configuration is in force yet");
        return;
    }
    auto parsed = parse_caller_request(view->accepted->content, std::move(request), next_id());
    if (!parsed) {
        const bool is_not_found = parsed.error().code == error_code::not_found;
        refuse_with_code(*responder, is_not_found ? 404 : 400,
                         is_not_found ? "not_found" : "bad_request", parsed.error().message);
        return;
    }
    start_exchange(std::move(*parsed), std::move(responder));
}

void caller_request_handler::start_exchange(caller_request request,
                                            std::shared_ptr<http_responder> responder) {
    auto dispatcher = context_.find_dispatcher(request.service);
    if (dispatcher == nullptr) {
        refuse(*responder, refusal::unknown_service, "the service is not known here yet");
        return;
    }
    ++running_;
    auto exchange = std::shared_ptr<request_exchange>(
        new request_exchange(context_, std::move(dispatcher), std::move(request),
                             std::move(responder)),
        [this](request_exchange* ended) {
            delete ended;
            --running_;
        });
    exchange->start();
}

std::string caller_request_handler::next_id() {
    return context_.options.instance + "-" + std::to_string(incarnation_) + "-" +
           std::to_string(++last_id_);
}

void caller_request_handler::send_entry_list(const server_request& request,
                                             http_responder& responder) const {
    std::vector<entry_address> entries;
    if (!is_leaving_) {
        entries.push_back(
            {context_.options.instance, context_.options.availability_zone, address_, running_});
    }
    for (const auto& other : mesh_.list()) {
        if (!other.is_leaving) {
            entries.push_back(other.address);
        }
    }
    auto random = seeded_random_source();
    nlohmann::json list = nlohmann::json::array();
    for (const auto& address :
         order_entries_for_caller(query_parameter(request, "zone"), std::move(entries), random)) {
        list.push_back({{"instance", address.instance},
                        {"availability_zone", address.availability_zone},
                        {"address", address.http_address}});
    }
    const nlohmann::json body = {{"entries", list}, {"lifetime_s", entry_list_lifetime.count()}};
    respond_json(responder, 200, body.dump());
}

void caller_request_handler::redirect_to_other_entry(const server_request& request,
                                                     http_responder& responder) const {
    const std::string other = find_other_entry();
    if (other.empty()) {
        refuse(responder, refusal::leaving, "this entry is leaving and knows no other");
        return;
    }
    const nlohmann::json body = {{"error",
                                  {{"message", "this entry is leaving; ask " + other},
                                   {"code", "leaving"},
                                   {"verdict", "not_run"}}}};
    responder.respond(307,
                      {{"Location", "http://" + other + request.target},
                       {"Content-Type", "application/json"},
                       {"Retry-After", "1"},
                       {"X-Run-Verdict", "not_run"},
                       {"X-Refusal", "leaving"}},
                      body.dump() + "\n");
}

void caller_request_handler::refuse(http_responder& responder, refusal reason,
                                    const std::string& message) const {
    refuse_with_code(responder, http_status(reason), std::string(name(reason)), message);
}

void caller_request_handler::refuse_with_code(http_responder& responder, int status,
                                              const std::string& code,
                                              const std::string& message) const {
    context_.process_metrics.count("citronseam_refused_requests_total", {{"code", code}});
    const nlohmann::json body = {
        {"error", {{"message", message}, {"code", code}, {"verdict", "not_run"}}}};
    std::vector<http_header> headers{
        {"Content-Type", "application/json"}, {"X-Run-Verdict", "not_run"}, {"X-Refusal", code}};
    if (status == 503) {
        headers.push_back({"Retry-After", "1"});
    }
    responder.respond(status, headers,
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace citronseam
