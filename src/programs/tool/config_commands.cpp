#include <iostream>
#include <memory>
#include <sstream>

#include "citronseam/version/sha256.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

constexpr std::size_t history_length = 20;
constexpr int most_rebases = 5;

result<std::string> read_checked(const std::string& path) {
    auto content = read_file(path);
    if (!content) {
        return content;
    }
    const auto parsed = parse_configuration(*content, path);
    if (!parsed.is_valid()) {
        return failure(error_code::invalid_file,
                       "the configuration is not accepted\n" + describe(parsed.problems));
    }
    return content;
}

int check(const std::string& path) {
    const auto content = read_checked(path);
    if (!content) {
        return report(content.error());
    }
    std::cout << path << ": accepted\n";
    return succeeded;
}

int show(tool_context& context) {
    const auto accepted = read_accepted_text(context);
    if (!accepted) {
        return report(accepted.error());
    }
    std::cout << accepted->body;
    return succeeded;
}

std::vector<std::string> split_lines(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Line difference by the longest common subsequence.
std::string line_difference(const std::string& before, const std::string& after) {
    const auto left = split_lines(before);
    const auto right = split_lines(after);
    std::vector<std::vector<std::size_t>> length(left.size() + 1,
                                                 std::vector<std::size_t>(right.size() + 1));
    for (std::size_t i = left.size(); i-- > 0;) {
        for (std::size_t j = right.size(); j-- > 0;) {
            length[i][j] = left[i] == right[j] ? length[i + 1][j + 1] + 1
                                               : std::max(length[i + 1][j], length[i][j + 1]);
        }
    }
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        const bool is_both = i < left.size() && j < right.size();
        if (is_both && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (j == right.size() || (is_both && length[i + 1][j] >= length[i][j + 1])) {
            text += "-" + left[i++] + "\n";
        } else {
            text += "+" + right[j++] + "\n";
        }
    }
    return text;
}

int diff(tool_context& context, const std::string& path) {
    const auto wanted = read_checked(path);
    if (!wanted) {
        return report(wanted.error());
    }
    const auto accepted = read_accepted_text(context);
    if (!accepted) {
        return report(accepted.error());
    }
    const std::string difference = line_difference(accepted->body, *wanted);
    print(context,
          {{"generation", accepted->present.head.generation},
           {"same", difference.empty()},
           {"difference", difference}},
          difference.empty() ? "no difference to generation " +
                                   std::to_string(accepted->present.head.generation) + "\n"
                             : difference);
    return succeeded;
}

void print_accepted(tool_context& context, const configuration_head& head, int taken) {
    print(context, {{"generation", head.generation}, {"hash", head.hash}, {"entries_told", taken}},
          "generation " + std::to_string(head.generation) + " is accepted; " +
              std::to_string(taken) + " entries were told\n");
}

int apply(tool_context& context, const std::string& path, std::int64_t expected) {
    const auto body = read_checked(path);
    if (!body) {
        return report(body.error());
    }
    const auto present = read_head(context);
    if (!present) {
        return report(present.error());
    }
    const auto generation = static_cast<std::int64_t>(present->head.generation);
    if (expected >= 0 && generation != expected) {
        return report({error_code::precondition_failed,
                       "generation " + std::to_string(generation) + " by " + present->head.author +
                           " is in force, not " + std::to_string(expected)});
    }
    if (present->head.hash == sha256_hex(*body)) {
        print_accepted(context, present->head, spread(context, present->head, *body));
        return succeeded;
    }
    const auto head = move_head(context, *body, *present);
    if (!head) {
        if (head.error().code == error_code::precondition_failed) {
            const auto now = read_head(context);
            const auto other = now ? read_body(context, now->head) : result<std::string>("");
            std::cerr << (other ? line_difference(*other, *body) : "");
        }
        return report(head.error());
    }
    print_accepted(context, *head, spread(context, *head, *body));
    return succeeded;
}

int history(tool_context& context) {
    const auto heads = read_history(context, history_length);
    if (!heads) {
        return report(heads.error());
    }
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    std::ostringstream text;
    for (const auto& head : *heads) {
        list.push_back({{"generation", head.generation},
                        {"author", head.author},
                        {"accepted_at_ms", head.accepted_at_ms},
                        {"hash", head.hash}});
        text << head.generation << "\t" << head.author << "\t" << head.accepted_at_ms << "\t"
             << head.hash.substr(0, 12) << "\n";
    }
    print(context, list, text.str());
    return succeeded;
}

} // namespace

int change_configuration(tool_context& context,
                         const std::function<result<std::string>(const std::string&)>& change) {
    for (int i = 0; i < most_rebases; ++i) {
        const auto accepted = read_accepted_text(context);
        if (!accepted) {
            return report(accepted.error());
        }
        const auto changed = change(accepted->body);
        if (!changed) {
            return report(changed.error());
        }
        const auto parsed = parse_configuration(*changed, "changed configuration");
        if (!parsed.is_valid()) {
            return report({error_code::invalid_file, describe(parsed.problems)});
        }
        if (*changed == accepted->body) {
            print_accepted(context, accepted->present.head,
                           spread(context, accepted->present.head, accepted->body));
            return succeeded;
        }
        const auto head = move_head(context, *changed, accepted->present);
        if (head) {
            print_accepted(context, *head, spread(context, *head, *changed));
            return succeeded;
        }
        if (head.error().code != error_code::precondition_failed) {
            return report(head.error());
        }
    }
    return report({error_code::precondition_failed, "other operators' changes came first " +
                                                        std::to_string(most_rebases) + " times"});
}

void add_config_commands(CLI::App& app, const command_sink& choose) {
    auto* config = app.add_subcommand("config", "the configuration of the whole system");
    config->require_subcommand(1);
    auto path = std::make_shared<std::string>();
    auto expected = std::make_shared<std::int64_t>(-1);

    auto* check_command = config->add_subcommand("check", "check a file; nothing is changed");
    check_command->add_option("file", *path, "configuration (YAML)")->required();
    check_command->callback([=] { choose([=](tool_context&) { return check(*path); }); });

    auto* show_command = config->add_subcommand("show", "print the accepted configuration");
    show_command->callback([=] { choose([](tool_context& context) { return show(context); }); });

    auto* diff_command = config->add_subcommand("diff", "compare a file with what is accepted");
    diff_command->add_option("file", *path, "configuration (YAML)")->required();
    diff_command->callback(
        [=] { choose([=](tool_context& context) { return diff(context, *path); }); });

    auto* apply_command = config->add_subcommand("apply", "make a file the accepted configuration");
    apply_command->add_option("file", *path, "configuration (YAML)")->required();
    apply_command->add_option("--expect-generation", *expected,
                              "fail unless this generation is the accepted one");
    apply_command->callback(
        [=] { choose([=](tool_context& context) { return apply(context, *path, *expected); }); });

    auto* history_command = config->add_subcommand("history", "list accepted configurations");
    history_command->callback(
        [=] { choose([](tool_context& context) { return history(context); }); });
}

} // namespace citronseam::tool
