#include "ctl/operator_session.hpp"

#include "core/text.hpp"
#include "coriander/clock.hpp"
#include "coriander/configuration.hpp"
#include "coriander/random_source.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <thread>

namespace coriander {
namespace {

constexpr int commit_attempts = 5;
constexpr auto confirmation_poll_interval = std::chrono::milliseconds{100};

/// Reads and checks a configuration file. Prints all findings and returns `nullopt` if it is invalid.
std::optional<std::string> read_configuration_file(const std::string& path)
{
    auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": the file can't be read or is empty\n";
        return std::nullopt;
    }
    auto checked = parse_configuration(*text, path);
    if (!checked.faults.empty()) {
        const auto count = checked.faults.size();
        std::cerr << findings_text(std::move(checked.faults)) << count
                  << " finding(s); nothing was changed\n";
        return std::nullopt;
    }
    return text;
}

/// Name of the object that stores a past configuration, for operators to look up.
std::string history_object_name(std::uint64_t number)
{
    return "configs/" + std::to_string(number) + ".toml";
}

/// Prints who won the race and how the winning configuration differs from `before`, the base of this
/// operator's change.
exit_code report_conflict(const std::string& before, const config_record& winner)
{
    std::cerr << "corianderctl: conflict: " << winner.author << " was first with number " << winner.number
              << "; nothing was changed.\n";
    if (const auto diff = line_diff(before, winner.toml); !diff.empty()) {
        std::cerr << "What it changed:\n" << diff;
    }
    return exit_code::conflict;
}

} // namespace

operator_session::operator_session(platform_urls urls, operator_options options)
    : platform{std::move(urls)}, options{std::move(options)}
{
}

exit_code operator_session::validate(const std::string& path)
{
    if (!read_configuration_file(path)) {
        return exit_code::bad_input;
    }
    std::cout << path << ": no findings\n";
    return exit_code::ok;
}

result<operator_session::current_config> operator_session::read_current()
{
    const auto row = this->platform.read(config_row_key);
    if (!row) {
        return row.error();
    }
    if (!row.value()) {
        return current_config{};
    }
    return current_config{decode_config(row.value()->value), row.value()->version};
}

exit_code operator_session::apply(const std::string& path)
{
    const auto text = read_configuration_file(path);
    if (!text) {
        return exit_code::bad_input;
    }
    const auto current = this->read_current();
    if (!current) {
        return report_unavailable(current.error());
    }
    const auto& base = current.value();
    const auto number = base.record ? base.record->number : 0;
    if (this->options.base && *this->options.base != number && base.record) {
        const auto before = this->platform.get_object(history_object_name(*this->options.base));
        return report_conflict(before ? before.value() : base.record->toml, *base.record);
    }
    auto random = seeded_generator();
    const config_record record{number + 1, this->options.author, draw_token(random), wall_clock_now(), *text};
    const auto started = monotonic_clock{}.now();
    const auto written = this->commit_config(record, base);
    if (written != exit_code::ok) {
        return written;
    }
    // The history is informational only; the row alone determines the configuration.
    (void)this->platform.put_object(history_object_name(record.number), record.toml);
    return this->await_confirmations(record.number, started);
}

/// Writes the row. If the response is lost, the same write is retried; if the lost write took effect, the
/// retry conflicts with a row that holds this record's token.
exit_code operator_session::commit_config(const config_record& record, const current_config& base)
{
    const std::array<table_write, 1> writes{
        table_write{std::string{config_row_key}, base.version, encode_config(record)}};
    for (int attempt = 0; attempt < commit_attempts; ++attempt) {
        const auto outcome = this->platform.commit(writes);
        if (outcome.state == commit_state::applied) {
            return exit_code::ok;
        }
        if (outcome.state == commit_state::conflict && !outcome.current.empty()) {
            const auto winner = decode_config(outcome.current.front().value);
            if (winner && winner->token == record.token) {
                return exit_code::ok;
            }
            return report_conflict(base.record ? base.record->toml : std::string{},
                                   winner.value_or(config_record{}));
        }
    }
    std::cerr << "corianderctl: the table does not answer; the change may still take effect. "
                 "Run 'corianderctl show' when it is back.\n";
    return exit_code::unavailable;
}

/// Deletes the row of a member that the platform's host list no longer contains.
void operator_session::remove_unlisted_member(const table_row& row)
{
    const std::array<table_write, 1> writes{table_write{row.key, row.version, std::nullopt}};
    (void)this->platform.commit(writes);
}

/// Entry hosts that have not confirmed the configuration; `nullopt` if the table can't be read.
std::optional<std::vector<std::string>> operator_session::unconfirmed_entry_hosts(std::uint64_t number)
{
    const auto rows = this->platform.scan(member_prefix);
    const auto hosts = this->platform.list_hosts();
    if (!rows) {
        return std::nullopt;
    }
    std::set<std::string> listed;
    if (hosts) {
        for (const auto& host : hosts.value()) {
            if (host.kind == host_kind::entry) {
                listed.insert(host.id);
            }
        }
    }
    std::vector<std::string> missing;
    for (const auto& row : rows.value()) {
        const auto member = decode_member(row.value);
        const auto name = row.key.substr(member_prefix.size());
        if (!member || member->config_number >= number || this->options.stopped_entry_hosts.contains(name)) {
            continue;
        }
        if (!listed.empty() && !listed.contains(name)) {
            this->remove_unlisted_member(row);
            continue;
        }
        missing.push_back(name);
    }
    return missing;
}

bool operator_session::mark_accepted(std::uint64_t number)
{
    const auto row = this->platform.read(accepted_row_key);
    if (!row) {
        return false;
    }
    const auto accepted_number = row.value() ? std::strtoull(row.value()->value.c_str(), nullptr, 10) : 0;
    if (accepted_number >= number) {
        return true;
    }
    const std::uint64_t version = row.value() ? row.value()->version : 0;
    const std::array<table_write, 1> writes{
        table_write{std::string{accepted_row_key}, version, std::to_string(number)}};
    return this->platform.commit(writes).state == commit_state::applied;
}

exit_code operator_session::await_confirmations(std::uint64_t number, time_ms since)
{
    const monotonic_clock clock;
    std::vector<std::string> missing;
    do {
        const auto unconfirmed = this->unconfirmed_entry_hosts(number);
        if (unconfirmed && unconfirmed->empty() && this->mark_accepted(number)) {
            std::cout << "accepted: number " << number << " is in force on every entry host after "
                      << (clock.now() - since).count() << " ms\n";
            return exit_code::ok;
        }
        missing = unconfirmed.value_or(std::vector<std::string>{"(the table can't be read)"});
        std::this_thread::sleep_for(confirmation_poll_interval);
    } while (clock.now() - since < this->options.wait_timeout);
    std::cout << "pending: number " << number
              << " is written, but not yet in force on: " << joined(missing, ", ")
              << "\nRun 'corianderctl await' to keep waiting.\n";
    return exit_code::pending;
}

exit_code operator_session::await()
{
    const auto current = this->read_current();
    if (!current) {
        return report_unavailable(current.error());
    }
    if (!current.value().record) {
        std::cout << "there is no configuration yet\n";
        return exit_code::ok;
    }
    return this->await_confirmations(current.value().record->number, monotonic_clock{}.now());
}

exit_code operator_session::show()
{
    const auto current = this->read_current();
    const auto accepted = this->platform.read(accepted_row_key);
    if (!current || !accepted) {
        return report_unavailable(current ? accepted.error() : current.error());
    }
    if (!current.value().record) {
        std::cout << "# there is no configuration yet\n";
        return exit_code::ok;
    }
    const auto& record = *current.value().record;
    const auto number = accepted.value() ? std::strtoull(accepted.value()->value.c_str(), nullptr, 10) : 0;
    std::cout << "# number " << record.number << " by " << record.author << ", "
              << (number >= record.number ? "accepted" : "pending") << "\n"
              << record.toml;
    return exit_code::ok;
}

exit_code operator_session::diff(const std::string& path)
{
    const auto text = read_configuration_file(path);
    if (!text) {
        return exit_code::bad_input;
    }
    const auto current = this->read_current();
    if (!current) {
        return report_unavailable(current.error());
    }
    const auto before = current.value().record ? current.value().record->toml : std::string{};
    std::cout << line_diff(before, *text);
    return exit_code::ok;
}

} // namespace coriander
