#include <iostream>
#include <memory>
#include <sstream>

#include "citronseam/request/idempotency_record.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

/// Identifies an idempotency key; `note` is the outcome given to `key settle`.
struct key_options {
    std::string service;
    std::string workspace{"default"};
    std::string key;
    std::string note;
};

void write_process_row(std::ostringstream& text, const nlohmann::json& row,
                       std::uint64_t latest_generation) {
    const std::uint64_t generation = row.at("generation");
    text << "  " << row.at("instance").get<std::string>() << "\t"
         << row.at("availability_zone").get<std::string>() << "\tgeneration " << generation
         << (generation < latest_generation ? " (lags)" : "")
         << (row.at("leaving").get<bool>() ? " leaving" : "") << "\trunning " << row.at("running");
}

std::uint64_t find_latest_generation(const nlohmann::json& status) {
    std::uint64_t latest_generation = 0;
    for (const auto* list : {"entries", "agents"}) {
        for (const auto& row : status.at(list)) {
            latest_generation =
                std::max(latest_generation, row.at("generation").get<std::uint64_t>());
        }
    }
    return latest_generation;
}

int show_status(tool_context& context) {
    const auto status = context.query_entry("GET", "/v1/status");
    if (!status) {
        return print_error(status.error());
    }
    const std::uint64_t latest_generation = find_latest_generation(*status);
    std::ostringstream text;
    text << "entries, as " << status->at("asked").get<std::string>() << " sees them:\n";
    for (const auto& row : status->at("entries")) {
        write_process_row(text, row, latest_generation);
        text << "\n";
    }
    text << "agents:\n";
    for (const auto& row : status->at("agents")) {
        write_process_row(text, row, latest_generation);
        text << " of " << row.at("limit") << "\t" << row.at("service").get<std::string>() << "\t"
             << (row.at("ready").get<bool>() ? "ready" : "not ready") << "\t"
             << row.at("version").get<std::string>().substr(0, 12) << "\n";
    }
    for (const auto& row : status->at("notices")) {
        text << "notice: " << row.at("availability_zone").get<std::string>()
             << (row.at("out").get<bool>() ? " out" : " in") << " for "
             << row.at("expires_in_ms").get<std::uint64_t>() / 1000 << " s more\n";
    }
    print_result(context, *status, text.str());
    return succeeded;
}

int list_workspaces(tool_context& context) {
    const auto accepted = read_accepted_configuration(context);
    if (!accepted) {
        return print_error(accepted.error());
    }
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    std::ostringstream text;
    for (const auto& entry : accepted->workspaces) {
        list.push_back(
            {{"name", entry.name}, {"weight", entry.weight}, {"queue_limit", entry.queue_limit}});
        text << entry.name << "\tweight " << entry.weight << "\tqueue_limit " << entry.queue_limit
             << "\n";
    }
    print_result(context, list, text.str());
    return succeeded;
}

/// Queries all entries, since each one has traces only of the requests that it served.
int trace(tool_context& context, const std::string& request_id) {
    nlohmann::ordered_json found = nlohmann::ordered_json::array();
    for (const auto& entry : context.options().entry_addresses) {
        tool_options single_entry_options = context.options();
        single_entry_options.entry_addresses = {entry};
        tool_context entry_context(single_entry_options);
        const auto response = entry_context.query_entry("GET", "/v1/traces/" + request_id);
        if (response) {
            for (const auto& row : response->at("traces")) {
                found.push_back(nlohmann::ordered_json(row));
            }
        }
    }
    if (found.empty()) {
        return print_error(
            {error_code::not_found, "no entry has a trace of request " + request_id});
    }
    std::ostringstream text;
    for (const auto& row : found) {
        text << request_id << " " << row["service"].get<std::string>() << " "
             << row["result"].get<std::string>() << " after " << row["taken_ms"] << " ms\n";
        for (const auto& attempt : row["attempts"]) {
            text << "  " << attempt["sent_ms"] << " ms to " << attempt["ended_ms"]
                 << " ms: " << attempt["instance"].get<std::string>() << " "
                 << attempt["verdict"].get<std::string>() << " "
                 << attempt["refusal"].get<std::string>() << "\n";
        }
    }
    print_result(context, found, text.str());
    return succeeded;
}

int list_quarantine(tool_context& context) {
    const auto response = context.query_entry("GET", "/v1/quarantine");
    if (!response) {
        return print_error(response.error());
    }
    std::ostringstream text;
    for (const auto& row : response->at("requests")) {
        text << row.at("fingerprint").get<std::string>() << "\t"
             << row.at("standing").get<std::string>() << "\t" << row.at("losses").size()
             << " lost\texpires in " << row.at("expires_in_ms").get<std::int64_t>() / 1000
             << " s\n";
    }
    print_result(context, *response, text.str());
    return succeeded;
}

int release_quarantine(tool_context& context, const std::string& fingerprint) {
    const auto response = context.query_entry("DELETE", "/v1/quarantine/" + fingerprint);
    if (!response) {
        return print_error(response.error());
    }
    if (!response->contains("released") || response->at("released") != true) {
        return print_error({error_code::outcome_unknown,
                            "the entry did not state that it released " + fingerprint});
    }
    print_result(context, *response, "released " + fingerprint + "\n");
    return succeeded;
}

result<table_row> read_key(tool_context& context, const key_options& options) {
    return context.read(tables::keys,
                        key_row_name(options.service, options.workspace, options.key));
}

int show_key(tool_context& context, const key_options& options) {
    const auto row = read_key(context, options);
    if (!row) {
        return print_error(row.error());
    }
    const auto record = parse_idempotency_record(row->value);
    if (!record) {
        return print_error(record.error());
    }
    print_result(context, nlohmann::ordered_json::parse(row->value),
                 std::string(name(record->state)) + " by " + record->agent + ", status " +
                     std::to_string(record->response.status) + "\n");
    return succeeded;
}

int settle_key(tool_context& context, const key_options& options) {
    const auto row = read_key(context, options);
    if (!row) {
        return print_error(row.error());
    }
    auto record = parse_idempotency_record(row->value);
    if (!record) {
        return print_error(record.error());
    }
    if (record->state != idempotency_state::started) {
        return print_error({error_code::invalid_argument,
                            "the key is " + std::string(name(record->state)) + " already"});
    }
    record->state = idempotency_state::settled;
    record->note = options.note;
    const auto written =
        context.replace(tables::keys, key_row_name(options.service, options.workspace, options.key),
                        row->tag, to_json(*record));
    if (!written) {
        return print_error(written.error());
    }
    print_result(context, {{"settled", true}}, "settled\n");
    return succeeded;
}

void add_key_commands(CLI::App& app, const command_setter& set_command) {
    auto* key = app.add_subcommand("key", "idempotency keys of requests that must not be repeated");
    key->require_subcommand(1);
    auto options = std::make_shared<key_options>();
    const auto add_key_options = [options](CLI::App* command) {
        command->add_option("service", options->service, "service")->required();
        command->add_option("key", options->key, "the caller's Idempotency-Key")->required();
        command->add_option("--workspace", options->workspace, "the caller's workspace");
    };
    auto* show = key->add_subcommand("show", "state of a key");
    add_key_options(show);
    show->callback(
        [=] { set_command([=](tool_context& context) { return show_key(context, *options); }); });
    auto* settle =
        key->add_subcommand("settle", "record the outcome of a key whose request may have run");
    add_key_options(settle);
    settle->add_option("--note", options->note, "outcome, returned to callers that repeat the key")
        ->required();
    settle->callback(
        [=] { set_command([=](tool_context& context) { return settle_key(context, *options); }); });
}

void add_quarantine_commands(CLI::App& app, const command_setter& set_command) {
    auto* quarantine = app.add_subcommand("quarantine", "requests that crash backend servers");
    quarantine->require_subcommand(1);
    auto* list = quarantine->add_subcommand("list", "list quarantined requests and their expiry");
    list->callback(
        [=] { set_command([](tool_context& context) { return list_quarantine(context); }); });
    auto fingerprint = std::make_shared<std::string>();
    auto* release = quarantine->add_subcommand("release", "remove a request from quarantine");
    release->add_option("fingerprint", *fingerprint, "fingerprint from 'quarantine list'")
        ->required();
    release->callback([=] {
        set_command(
            [=](tool_context& context) { return release_quarantine(context, *fingerprint); });
    });
}

} // namespace

void add_status_commands(CLI::App& app, const command_setter& set_command) {
    auto* status =
        app.add_subcommand("status", "processes and the configuration generation of each");
    status->callback(
        [=] { set_command([](tool_context& context) { return show_status(context); }); });
    auto* workspaces = app.add_subcommand("workspace", "workspaces and their weights");
    workspaces->require_subcommand(1);
    auto* list = workspaces->add_subcommand("list", "workspaces of the accepted configuration");
    list->callback(
        [=] { set_command([](tool_context& context) { return list_workspaces(context); }); });
    auto request_id = std::make_shared<std::string>();
    auto* trace_command = app.add_subcommand("trace", "attempts and result of a recent request");
    trace_command->add_option("request-id", *request_id, "X-Request-Id of the request")->required();
    trace_command->callback(
        [=] { set_command([=](tool_context& context) { return trace(context, *request_id); }); });
    add_quarantine_commands(app, set_command);
    add_key_commands(app, set_command);
}

} // namespace citronseam::tool
