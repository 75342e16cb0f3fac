#include "programs/tool/configuration_store.h"

#include <thread>

#include "citronseam/process/random.h"
#include "citronseam/version/sha256.h"

namespace citronseam::tool {
namespace {

constexpr const char* head_row = "head";
constexpr int settle_attempts = 20;
constexpr milliseconds settle_pause{500};
constexpr std::size_t longest_walk = 100000;

std::string head_object(const std::string& attempt) {
    return "head-" + attempt;
}

result<configuration_head> read_head_object(tool_context& context, const std::string& attempt) {
    const auto text = context.get_object(head_object(attempt));
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parse_head(*text);
}

/// @return whether `attempt` stands in the chain that ends at `head`
result<bool> is_in_chain(tool_context& context, configuration_head head,
                         const configuration_head& wanted) {
    for (std::size_t step = 0; step < longest_walk; ++step) {
        if (head.attempt == wanted.attempt) {
            return true;
        }
        if (head.generation <= wanted.generation || head.parent.empty()) {
            return false;
        }
        auto parent = read_head_object(context, head.parent);
        if (!parent) {
            return tl::unexpected(parent.error());
        }
        head = std::move(*parent);
    }
    return failure(error_code::corrupt, "the chain of configurations has no end");
}

error beaten_by(const configuration_head& winner) {
    return {error_code::precondition_failed,
            "generation " + std::to_string(winner.generation) + " by " + winner.author +
                " came first; see 'citronseam config diff FILE' and apply again"};
}

result<configuration_head> settle(tool_context& context, const configuration_head& wanted) {
    for (int i = 0; i < settle_attempts; ++i) {
        const auto present = read_head(context);
        if (present) {
            const auto is_accepted = is_in_chain(context, present->head, wanted);
            if (is_accepted && *is_accepted) {
                return wanted;
            }
            // A write that has not arrived yet would still find its condition true while the head
            // stands at the parent, so only a head that moved on proves that it lost.
            if (is_accepted && present->head.generation >= wanted.generation) {
                return tl::unexpected(beaten_by(present->head));
            }
        }
        std::this_thread::sleep_for(settle_pause);
    }
    return failure(error_code::outcome_unknown,
                   "the table service did not say for " +
                       std::to_string(settle_attempts * settle_pause.count() / 1000) +
                       " s whether generation " + std::to_string(wanted.generation) +
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

result<present_head> read_head(tool_context& context) {
    const auto row = context.read(tables::configuration, head_row);
    if (!row && row.error().code == error_code::not_found) {
        return present_head{};
    }
    if (!row) {
        return tl::unexpected(row.error());
    }
    const auto head = parse_head(row->value);
    if (!head) {
        return tl::unexpected(head.error());
    }
    return present_head{*head, row->tag};
}

result<std::string> read_body(tool_context& context, const configuration_head& head) {
    if (head.generation == 0) {
        return std::string{};
    }
    return context.get_object(head.hash);
}

result<accepted_text> read_accepted_text(tool_context& context) {
    const auto present = read_head(context);
    if (!present) {
        return tl::unexpected(present.error());
    }
    const auto body = read_body(context, present->head);
    if (!body) {
        return tl::unexpected(body.error());
    }
    return accepted_text{*present, *body};
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

result<configuration_head> move_head(tool_context& context, const std::string& body,
                                     const present_head& parent) {
    const configuration_head wanted = next_head(body, parent.head, context.options().author);
    const auto stored = context.put_object(wanted.hash, body);
    if (!stored) {
        return failure(error_code::unavailable, stored.error().message);
    }
    const auto noted = context.put_object(head_object(wanted.attempt), to_json(wanted));
    if (!noted) {
        return failure(error_code::unavailable, noted.error().message);
    }
    const std::string row = to_json(wanted);
    const auto moved = parent.tag.empty()
                           ? context.insert(tables::configuration, head_row, row)
                           : context.replace(tables::configuration, head_row, parent.tag, row);
    if (moved) {
        return wanted;
    }
    if (moved.error().code == error_code::unavailable) {
        return tl::unexpected(moved.error());
    }
    return settle(context, wanted);
}

int spread(tool_context& context, const configuration_head& head, const std::string& body) {
    const nlohmann::json message = {{"generation", head.generation},
                                    {"hash", head.hash},
                                    {"attempt", head.attempt},
                                    {"body", body}};
    return context.tell_entries("/v1/configuration", message.dump());
}

result<std::vector<configuration_head>> read_history(tool_context& context, std::size_t most) {
    const auto present = read_head(context);
    if (!present) {
        return tl::unexpected(present.error());
    }
    std::vector<configuration_head> history;
    configuration_head head = present->head;
    while (head.generation > 0 && history.size() < most) {
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
