// Operator command-line tool.
#include <iostream>

#include "programs/tool/commands.h"

namespace {

using namespace citronseam::tool;

constexpr const char* description =
    "citronseam: configuration, releases and status of a citronseam deployment.\n"
    "Exit codes: 0 success; 1 request failed; 2 invalid file or argument;\n"
    "3 platform or entries unreachable, nothing changed; 4 outcome unknown, run again;\n"
    "5 conflict with another operator's change.";

/// Prints a completion script for bash.
int print_completion(const CLI::App& app) {
    std::cout << "# source <(citronseam completion)\n_citronseam() {\n"
                 "    local words=\"\"\n    case \"${COMP_WORDS[1]}\" in\n";
    std::string top_level_words;
    for (const auto* command : app.get_subcommands([](const CLI::App*) { return true; })) {
        top_level_words += command->get_name() + " ";
        std::string nested_words;
        for (const auto* nested_command :
             command->get_subcommands([](const CLI::App*) { return true; })) {
            nested_words += nested_command->get_name() + " ";
        }
        std::cout << "        " << command->get_name() << ") words=\"" << nested_words << "\" ;;\n";
    }
    std::cout << "    esac\n    [ \"$COMP_CWORD\" -eq 1 ] && words=\"" << top_level_words
              << "\"\n    COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
                 "}\ncomplete -o default -F _citronseam citronseam\n";
    return succeeded;
}

void add_options(CLI::App& app, tool_options& options, std::string& output) {
    app.add_option("--store", options.store_url, "URL of the table service")
        ->envname("CITRONSEAM_STORE");
    app.add_option("--objects", options.object_store_url,
                   "URL of the object store (default: value of --store)")
        ->envname("CITRONSEAM_OBJECTS");
    app.add_option("--weights", options.weight_store_url, "URL of the weight store")
        ->envname("CITRONSEAM_WEIGHTS");
    app.add_option("--entry", options.entry_addresses, "operator address of an entry, repeatable")
        ->envname("CITRONSEAM_ENTRIES")
        ->delimiter(',');
    app.add_option("--author", options.author, "author name recorded in the history")
        ->envname("USER")
        ->default_val("unknown");
    app.add_option("--output", output, "text or json")
        ->check(CLI::IsMember({"text", "json"}))
        ->default_val("text");
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app(description);
    app.set_version_flag("--version", CITRONSEAM_VERSION);
    app.require_subcommand(1);
    app.fallthrough();
    tool_options options;
    std::string output;
    command_function selected_command;
    const command_setter set_command = [&](command_function selected) {
        selected_command = std::move(selected);
    };
    add_options(app, options, output);
    add_config_commands(app, set_command);
    add_zone_commands(app, set_command);
    add_release_commands(app, set_command);
    add_report_command(app, set_command);
    add_status_commands(app, set_command);
    app.add_subcommand("completion", "print a completion script for bash")->callback([&] {
        selected_command = [&](tool_context&) { return print_completion(app); };
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? succeeded : invalid_input;
    }
    options.output = output == "json" ? output_format::json : output_format::text;
    try {
        tool_context context(options);
        return selected_command(context);
    } catch (const std::exception& exception) {
        std::cerr << "citronseam: " << exception.what() << "\n";
        return failed;
    }
}
