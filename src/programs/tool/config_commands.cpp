#include <iostream>
#include <memory>
#include <sstream>

#include "citronseam/version/sha256.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

constexpr std::size_t max_history_entries = 20;
constexpr int max_commit_attempts = 5;

result<std::string> read_valid_configuration(const std::string& path) {
    auto content = read_file(path);
    if (!content) {
        return content;
    }
    const auto parsed = parse_configuration(*content, path);
    if (!parsed.is_valid()) {
        return failure(error_code::invalid_file,
                       "the configuration is invalid\n" + describe(parsed.problems));
    }
    return content;
}

int check_file(const std::string& path) {
    const auto content = read_valid_configuration(path);
    if (!content) {
        return print_error(content.error());
    }
    std::cout << path << ": valid\n";
    return succeeded;
}

int show_accepted(tool_context& context) {
    const auto accepted = read_accepted_text(context);
    if (!accepted) {
        return print_error(accepted.error());
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

/// Returns a line diff based on the longest common subsequence; lines start with `-` or `+`.
std::string line_diff(const std::string& before, const std::string& after) {
    const auto before_lines = split_lines(before);
    const auto after_lines = split_lines(after);
    std::vector<std::vector<std::size_t>> lcs_length(
        before_lines.size() + 1, std::vector<std::size_t>(after_lines.size() + 1));
    for (std::size_t i = before_lines.size(); i-- > 0;) {
        for (std::size_t j = after_lines.size(); j-- > 0;) {
            lcs_length[i][j] = before_lines[i] == after_lines[j]
                                   ? lcs_length[i + 1][j + 1] + 1
                                   : std::max(lcs_length[i + 1][j], lcs_length[i][j + 1]);
        }
    }
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before_lines.size() || j < after_lines.size()) {
        const bool has_both = i < before_lines.size() && j < after_lines.size();
        if (has_both && before_lines[i] == after_lines[j]) {
            ++i;
            ++j;
        } else if (j == after_lines.size() ||
                   (has_both && lcs_length[i + 1][j] >= lcs_length[i][j + 1])) {
            text += "-" + before_lines[i++] + "\n";
        } else {
            text += "+" + after_lines[j++] + "\n";
        }
    }
    return text;
}

int diff_with_accepted(tool_context& context, const std::string& path) {
    const auto proposed = read_valid_configuration(path);
    if (!proposed) {
        return print_error(proposed.error());
    }
    const auto accepted = read_accepted_text(context);
    if (!accepted) {
        return print_error(accepted.error());
    }
    const std::string difference = line_diff(accepted->body, *proposed);
    print_result(context,
                 {{"generation", accepted->current.head.generation},
                  {"same", difference.empty()},
                  {"difference", difference}},
                 difference.empty() ? "no differences from generation " +
                                          std::to_string(accepted->current.head.generation) + "\n"
                                    : difference);
    return succeeded;
}

void print_accepted(tool_context& context, const configuration_head& head, int accepted_count) {
    print_result(
        context,
        {{"generation", head.generation}, {"hash", head.hash}, {"entries_told", accepted_count}},
        "generation " + std::to_string(head.generation) + " is accepted; sent to " +
            std::to_string(accepted_count) + " entries\n");
}

int apply_file(tool_context& context, const std::string& path, std::int64_t expected_generation) {
    const auto body = read_valid_configuration(path);
    if (!body) {
        return print_error(body.error());
    }
    const auto current = read_head(context);
    if (!current) {
        return print_error(current.error());
    }
    const auto generation = static_cast<std::int64_t>(current->head.generation);
    if (expected_generation >= 0 && generation != expected_generation) {
        return print_error({error_code::precondition_failed,
                            "generation " + std::to_string(generation) + " by " +
                                current->head.author + " is the accepted one, not " +
                                std::to_string(expected_generation)});
    }
    if (current->head.hash == sha256_hex(*body)) {
        print_accepted(context, current->head, push_to_entries(context, current->head, *body));
        return succeeded;
    }
    const auto head = commit_head(context, *body, *current);
    if (!head) {
        if (head.error().code == error_code::precondition_failed) {
            const auto latest = read_head(context);
            const auto latest_body =
                latest ? read_body(context, latest->head) : result<std::string>("");
            std::cerr << (latest_body ? line_diff(*latest_body, *body) : "");
        }
        return print_error(head.error());
    }
    print_accepted(context, *head, push_to_entries(context, *head, *body));
    return succeeded;
}

int show_history(tool_context& context) {
    const auto heads = read_history(context, max_history_entries);
    if (!heads) {
        return print_error(heads.error());
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
    print_result(context, list, text.str());
    return succeeded;
}

} // namespace

int update_configuration(tool_context& context,
                         const std::function<result<std::string>(const std::string&)>& edit) {
    for (int i = 0; i < max_commit_attempts; ++i) {
        const auto accepted = read_accepted_text(context);
        if (!accepted) {
            return print_error(accepted.error());
        }
        const auto changed = edit(accepted->body);
        if (!changed) {
            return print_error(changed.error());
        }
        const auto parsed = parse_configuration(*changed, "changed configuration");
        if (!parsed.is_valid()) {
            return print_error({error_code::invalid_file, describe(parsed.problems)});
        }
        if (*changed == accepted->body) {
            print_accepted(context, accepted->current.head,
                           push_to_entries(context, accepted->current.head, accepted->body));
            return succeeded;
        }
        const auto head = commit_head(context, *changed, accepted->current);
        if (head) {
            print_accepted(context, *head, push_to_entries(context, *head, *changed));
            return succeeded;
        }
        if (head.error().code != error_code::precondition_failed) {
            return print_error(head.error());
        }
    }
    return print_error(
        {error_code::precondition_failed, "conflicting changes by other operators on all " +
                                              std::to_string(max_commit_attempts) + " attempts"});
}

void add_config_commands(CLI::App& app, const command_setter& set_command) {
    auto* config = app.add_subcommand("config", "configuration of the deployment");
    config->require_subcommand(1);
    auto path = std::make_shared<std::string>();
    auto expected_generation = std::make_shared<std::int64_t>(-1);

    auto* check_command = config->add_subcommand("check", "validate a file without applying it");
    check_command->add_option("file", *path, "configuration (YAML)")->required();
    check_command->callback([=] { set_command([=](tool_context&) { return check_file(*path); }); });

    auto* show_command = config->add_subcommand("show", "print the accepted configuration");
    show_command->callback(
        [=] { set_command([](tool_context& context) { return show_accepted(context); }); });

    auto* diff_command =
        config->add_subcommand("diff", "compare a file with the accepted configuration");
    diff_command->add_option("file", *path, "configuration (YAML)")->required();
    diff_command->callback([=] {
        set_command([=](tool_context& context) { return diff_with_accepted(context, *path); });
    });

    auto* apply_command =
        config->add_subcommand("apply", "commit a file as the accepted configuration");
    apply_command->add_option("file", *path, "configuration (YAML)")->required();
    apply_command->add_option("--expect-generation", *expected_generation,
                              "fail unless this is the accepted generation");
    apply_command->callback([=] {
        set_command([=](tool_context& context) {
            return apply_file(context, *path, *expected_generation);
        });
    });

    auto* history_command = config->add_subcommand("history", "list accepted configurations");
    history_command->callback(
        [=] { set_command([](tool_context& context) { return show_history(context); }); });
}

} // namespace citronseam::tool
