#include "programs/tool/configuration_store.h"

#include <thread>

#include "citronseam/process/random.h"
#include "citronseam/version/sha256.h"

namespace citronseam::tool {
namespace {

constexpr const char* head_row_key = "head";
constexpr int outcome_check_attempts = 20;
constexpr milliseconds outcome_check_interval{500};
constexpr std::size_t max_chain_length = 100000;

std::string head_object_name(const std::string& attempt) {
    return "head-" + attempt;
}

result<configuration_head> read_head_object(tool_context& context, const std::string& attempt) {
    const auto text = context.get_object(head_object_name(attempt));
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parse_head(*text);
}

/// @return whether the attempt of `proposed` is in the parent chain that starts at `head`
result<bool> is_in_chain(tool_context& context, configuration_head head,
                         const configuration_head& proposed) {
    for (std::size_t step = 0; step < max_chain_length; ++step) {
        if (head.attempt == proposed.attempt) {
            return true;
        }
        if (head.generation <= proposed.generation || head.parent.empty()) {
            return false;
        }
        auto parent = read_head_object(context, head.parent);
        if (!parent) {
            return tl::unexpected(parent.error());
        }
        head = std::move(*parent);
    }
    return failure(error_code::corrupt,
                   "the parent chain of the configuration is too long or cyclic");
}

error conflict_error(const configuration_head& accepted_head) {
    return {error_code::precondition_failed,
            "generation " + std::to_string(accepted_head.generation) + " by " +
                accepted_head.author +
                " was committed first; run 'citronseam config diff FILE', then apply again"};
}

result<configuration_head> resolve_unknown_outcome(tool_context& context,
                                                   const configuration_head& proposed) {
    for (int i = 0; i < outcome_check_attempts; ++i) {
        const auto current = read_head(context);
        if (current) {
            const auto is_accepted = is_in_chain(context, current->head, proposed);
            if (is_accepted && *is_accepted) {
                return proposed;
            }
            // While the head is still the parent, a delayed write can still satisfy its condition.
            // Only a head with the same or a later generation proves that the write lost.
            if (is_accepted && current->head.generation >= proposed.generation) {
                return tl::unexpected(conflict_error(current->head));
            }
        }
        std::this_thread::sleep_for(outcome_check_interval);
    }
    return failure(
        error_code::outcome_unknown,
        "the table service did not report for " +
            std::to_string(outcome_check_attempts * outcome_check_interval.count() / 1000) +
            " s whether generation " + std::to_string(proposed.generation) +
            " was accepted; run 'citronseam config history' later");
}

configuration_head next_head(const std::string& body, const configuration_head& parent,
                             const std::string& author) {
    auto random = seeded_random_source();
    configuration_head head;
    head.generation = parent.generation + 1;
    head.hash = sha256_hex(body);
    head.attempt = unique_identifier(random);
    head.parent = parent.attempt;
    head.author = author;
    head.accepted_at_ms = wall_clock_ms();
    return head;
}

} // namespace

result<tagged_head> read_head(tool_context& context) {
    const auto row = context.read(tables::configuration, head_row_key);
    if (!row && row.error().code == error_code::not_found) {
        return tagged_head{};
    }
    if (!row) {
        return tl::unexpected(row.error());
    }
    const auto head = parse_head(row->value);
    if (!head) {
        return tl::unexpected(head.error());
    }
    return tagged_head{*head, row->tag};
}

result<std::string> read_body(tool_context& context, const configuration_head& head) {
    if (head.generation == 0) {
        return std::string{};
    }
    auto body = context.get_object(head.hash);
    if (body && sha256_hex(*body) != head.hash) {
        return failure(error_code::corrupt, "the object store's copy of generation " +
                                                std::to_string(head.generation) +
                                                " does not match its hash");
    }
    return body;
}

result<accepted_configuration_text> read_accepted_text(tool_context& context) {
    const auto current = read_head(context);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto body = read_body(context, current->head);
    if (!body) {
        return tl::unexpected(body.error());
    }
    return accepted_configuration_text{*current, *body};
}

result<configuration> read_accepted_configuration(tool_context& context) {
    const auto accepted = read_accepted_text(context);
    if (!accepted) {
        return tl::unexpected(accepted.error());
    }
    auto parsed = parse_configuration(accepted->body, "accepted configuration");
    if (!parsed.is_valid()) {
        return failure(error_code::invalid_file, describe(parsed.problems));
    }
    return std::move(parsed.value);
}

result<configuration_head> commit_head(tool_context& context, const std::string& body,
                                       const tagged_head& parent) {
    const configuration_head proposed = next_head(body, parent.head, context.options().author);
    const auto body_stored = context.put_object(proposed.hash, body);
    if (!body_stored) {
        return failure(error_code::unavailable, body_stored.error().message);
    }
    const auto head_stored =
        context.put_object(head_object_name(proposed.attempt), to_json(proposed));
    if (!head_stored) {
        return failure(error_code::unavailable, head_stored.error().message);
    }
    const std::string row = to_json(proposed);
    const auto updated =
        parent.tag.empty() ? context.insert(tables::configuration, head_row_key, row)
                           : context.replace(tables::configuration, head_row_key, parent.tag, row);
    if (updated) {
        return proposed;
    }
    if (updated.error().code == error_code::unavailable) {
        return tl::unexpected(updated.error());
    }
    return resolve_unknown_outcome(context, proposed);
}

int push_to_entries(tool_context& context, const configuration_head& head,
                    const std::string& body) {
    const nlohmann::json message = {{"generation", head.generation},
                                    {"hash", head.hash},
                                    {"attempt", head.attempt},
                                    {"body", body}};
    return context.broadcast_to_entries("/v1/configuration", message.dump());
}

result<std::vector<configuration_head>> read_history(tool_context& context, std::size_t max_count) {
    const auto current = read_head(context);
    if (!current) {
        return tl::unexpected(current.error());
    }
    std::vector<configuration_head> history;
    configuration_head head = current->head;
    while (head.generation > 0 && history.size() < max_count) {
        history.push_back(head);
        if (head.parent.empty()) {
            break;
        }
        auto parent = read_head_object(context, head.parent);
        if (!parent) {
            return tl::unexpected(parent.error());
        }
        head = std::move(*parent);
    }
    return history;
}

} // namespace citronseam::tool
