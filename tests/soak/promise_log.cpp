#include "soak/promise_log.h"

#include <algorithm>
#include <iostream>

namespace citronseam::soak {
namespace {

constexpr const char* whole = "whole";

std::string result_of(const caller_answer& answer) {
    constexpr int success = 200;
    switch (answer.end) {
    case answer_end::complete:
        return answer.status == success ? whole : std::to_string(answer.status);
    case answer_end::broken:
        return "broken";
    case answer_end::timed_out:
        return "left";
    case answer_end::unconnected:
        break;
    }
    return "unconnected";
}

} // namespace

promise_log::promise_log(std::uint64_t seed)
    : seed_(seed), started_at_(std::chrono::steady_clock::now()) {}

milliseconds promise_log::elapsed() const {
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at_);
}

void promise_log::report(const breach& broken) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::cout << "BROKEN " << find_name(promise_names, broken.broken) << " seed " << seed_ << " at "
              << elapsed().count() << " ms, " << broken.request << ": " << broken.detail
              << std::endl;
    breaches_.push_back(broken);
}

void promise_log::record(const soak_request& request, const caller_answer& answer) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_[request.kind][result_of(answer)];
        if (request.is_single() && is_refusal(answer.status)) {
            refused_[request.id] = answer.status;
        }
    }
    if (const auto broken = check_answer(request, answer)) {
        report(*broken);
    }
}

bool promise_log::is_reported(promise broken, const std::string& request) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::any_of(breaches_.begin(), breaches_.end(), [&](const auto& reported) {
        return reported.broken == broken && reported.request == request;
    });
}

std::vector<breach> promise_log::breaches() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return breaches_;
}

std::map<std::string, int> promise_log::refused() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
}

int promise_log::success_count(request_kind kind) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto results = counts_.find(kind);
    if (results == counts_.end()) {
        return 0;
    }
    const auto found = results->second.find(whole);
    return found == results->second.end() ? 0 : found->second;
}

std::string promise_log::summary() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [kind, results] : counts_) {
        text += std::string(find_name(request_names, kind)) + ":";
        for (const auto& [result, count] : results) {
            text += " " + result + "=" + std::to_string(count);
        }
        text += "\n";
    }
    return text;
}

} // namespace citronseam::soak
