// The operators' tool.
#include <iostream>

#include "programs/tool/commands.h"

namespace {

using namespace citronseam::tool;

constexpr const char* description =
    "citronseam: configuration, releases and status of a citronseam deployment.\n"
    "Exit codes: 0 done; 1 not possible; 2 a file or an argument was not accepted;\n"
    "3 platform or entries unreachable, nothing changed; 4 outcome unknown, run it again;\n"
    "5 another operator's change came first.";

/// Prints a completion script for bash.
int print_completion(const CLI::App& app) {
    std::cout << "# source <(citronseam completion)\n_citronseam() {\n"
                 "    local words=\"\"\n    case \"${COMP_WORDS[1]}\" in\n";
    std::string top;
    for (const auto* command : app.get_subcommands([](const CLI::App*) { return true; })) {
        top += command->get_name() + " ";
        std::string nested;
        for (const auto* inner : command->get_subcommands([](const CLI::App*) { return true; })) {
            nested += inner->get_name() + " ";
        }
        std::cout << "        " << command->get_name() << ") words=\"" << nested << "\" ;;\n";
    }
    std::cout << "    esac\n    [ \"$COMP_CWORD\" -eq 1 ] && words=\"" << top
              << "\"\n    COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
                 "}\ncomplete -o default -F _citronseam citronseam\n";
    return succeeded;
}

void add_options(CLI::App& app, tool_options& options, std::string& output) {
    app.add_option("--store", options.store, "URL of the table service")
        ->envname("CITRONSEAM_STORE");
    app.add_option("--objects", options.objects, "URL of the object store, the store's if absent")
        ->envname("CITRONSEAM_OBJECTS");
    app.add_option("--weights", options.weights, "URL of the weight store")
        ->envname("CITRONSEAM_WEIGHTS");
    app.add_option("--entry", options.entries, "operator address of an entry, repeatable")
        ->envname("CITRONSEAM_ENTRIES")
        ->delimiter(',');
    app.add_option("--author", options.author, "name that the history shows")
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
    command chosen;
    const command_sink choose = [&](command picked) { chosen = std::move(picked); };
    add_options(app, options, output);
    add_config_commands(app, choose);
    add_zone_commands(app, choose);
    add_release_commands(app, choose);
    add_report_command(app, choose);
    add_status_commands(app, choose);
    app.add_subcommand("completion", "print a completion script for bash")->callback([&] {
        chosen = [&](tool_context&) { return print_completion(app); };
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? succeeded : not_accepted;
    }
    options.output = output == "json" ? output_form::json : output_form::text;
    try {
        tool_context context(options);
        return chosen(context);
    } catch (const std::exception& exception) {
        std::cerr << "citronseam: " << exception.what() << "\n";
        return failed;
    }
}
