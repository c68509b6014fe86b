#include "coriander/configuration.hpp"

#include "core/toml_checker.hpp"

#include <algorithm>
#include <cctype>
#include <set>

namespace coriander {
namespace {

constexpr number_range host_count_range{1, 64};
constexpr number_range replica_count_range{0, 10'000};
constexpr number_range concurrency_range{1, 4096};
constexpr number_range weight_range{0.01, 1000};
constexpr number_range rate_range{0.01, 1'000'000};
constexpr number_range short_time_range_ms{10, 600'000};
constexpr number_range long_time_range_ms{100, 3'600'000};

template <typename List>
auto find_named(const List& list, std::string_view name) -> decltype(list.data())
{
    const auto found =
        std::find_if(list.begin(), list.end(), [name](const auto& item) { return item.name == name; });
    return found == list.end() ? nullptr : &*found;
}

/// Names become parts of table keys and addresses.
bool is_plain_name(std::string_view name)
{
    constexpr std::size_t max_length = 63;
    return !name.empty() && name.size() <= max_length &&
           std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-';
           });
}

/// Reads one configuration. A class, so that its steps share the checker and the sets of names.
class configuration_reader {
public:
    explicit configuration_reader(std::string_view file) : checker{file} {}

    checked_configuration read(std::string_view text)
    {
        const auto document = this->checker.parse(text);
        this->checker.reject_unknown(document, {"profile", "service", "customer"});
        this->checker.each_table(document, "profile",
                                 [this](const auto& table) { this->read_profile(table); });
        this->checker.each_table(document, "service",
                                 [this](const auto& table) { this->read_service(table); });
        this->checker.each_table(document, "customer",
                                 [this](const auto& table) { this->read_customer(table); });
        return {std::move(this->config), this->checker.take()};
    }

private:
    std::string read_name(const toml::table& table, std::set<std::string>& used_names)
    {
        auto name = this->checker.required_text(table, "name");
        if (!name.empty() && !is_plain_name(name)) {
            this->checker.report(
                table, "name",
                "'name' may contain only lowercase letters, digits and '-', at most 63 in all");
        }
        if (!name.empty() && !used_names.insert(name).second) {
            this->checker.report(table, "name", "the name '" + name + "' is used twice");
        }
        return name;
    }

    void read_profile(const toml::table& table)
    {
        this->checker.reject_unknown(table, {"name", "kind", "model", "hosts_per_replica", "downtime_weight",
                                             "max_concurrency", "first_token_limit", "stream_idle_limit",
                                             "request_deadline", "queue_limit", "call"});
        profile entry;
        entry.name = this->read_name(table, this->profile_names);
        const auto kind = this->checker.required_text(table, "kind");
        if (kind != "model" && kind != "plain" && !kind.empty()) {
            this->checker.report(table, "kind",
                                 "'kind' must be \"model\" or \"plain\", not \"" + kind + "\"");
        }
        entry.kind = kind == "plain" ? profile_kind::plain : profile_kind::model;
        this->read_numbers(table, entry);
        this->read_limits(table, entry);
        this->read_kind_specific(table, entry);
        this->config.profiles.push_back(std::move(entry));
    }

    void read_numbers(const toml::table& table, profile& entry)
    {
        entry.hosts_per_replica = static_cast<std::uint32_t>(
            this->checker.integer(table, "hosts_per_replica", entry.hosts_per_replica, host_count_range));
        entry.downtime_weight = this->checker.number(table, "downtime_weight", entry.downtime_weight, {0, 1});
        entry.max_concurrency = static_cast<std::uint32_t>(
            this->checker.integer(table, "max_concurrency", entry.max_concurrency, concurrency_range));
    }

    void read_limits(const toml::table& table, profile& entry)
    {
        auto& check = this->checker;
        entry.first_token_limit =
            check.duration(table, "first_token_limit", entry.first_token_limit, short_time_range_ms);
        entry.stream_idle_limit =
            check.duration(table, "stream_idle_limit", entry.stream_idle_limit, short_time_range_ms);
        entry.request_deadline =
            check.duration(table, "request_deadline", entry.request_deadline, long_time_range_ms);
        entry.queue_limit = check.duration(table, "queue_limit", entry.queue_limit, short_time_range_ms);
        if (entry.stream_idle_limit >= entry.request_deadline) {
            check.report(table, "stream_idle_limit",
                         "'stream_idle_limit' must be less than 'request_deadline'");
        }
    }

    void read_kind_specific(const toml::table& table, profile& entry)
    {
        if (entry.kind == profile_kind::model) {
            entry.model = this->checker.required_text(table, "model");
            if (table.contains("call")) {
                this->checker.report(table, "call", "a model's profile has no [[profile.call]]");
            }
            return;
        }
        for (const auto* key : {"model", "hosts_per_replica"}) {
            if (table.contains(key)) {
                this->checker.report(table, key,
                                     "'" + std::string{key} + "' is allowed in model profiles only");
            }
        }
        std::set<std::string> names;
        this->checker.each_table(table, "call",
                                 [&](const auto& call) { this->read_call(call, entry, names); });
        if (entry.calls.empty()) {
            this->checker.report(table, "a plain service's profile needs at least one [[profile.call]]");
        }
    }

    void read_call(const toml::table& table, profile& entry, std::set<std::string>& names)
    {
        this->checker.reject_unknown(table, {"name", "method", "path", "repeatable"});
        call_rule call;
        call.name = this->read_name(table, names);
        call.method = this->checker.optional_text(table, "method", "GET");
        const std::set<std::string> methods{"GET", "POST", "PUT", "DELETE"};
        if (!methods.contains(call.method)) {
            this->checker.report(table, "method", "'method' must be GET, POST, PUT or DELETE");
        }
        call.path = this->checker.required_text(table, "path");
        if (!call.path.empty() && call.path.front() != '/') {
            this->checker.report(table, "path", "'path' must begin with '/'");
        }
        if (!table.contains("repeatable")) {
            this->checker.report(table, "'repeatable' is missing: say whether the call may run twice");
        }
        call.repeatable = this->checker.boolean(table, "repeatable", true);
        entry.calls.push_back(std::move(call));
    }

    void read_service(const toml::table& table)
    {
        this->checker.reject_unknown(table, {"name", "profile", "replicas"});
        service_rule entry;
        entry.name = this->read_name(table, this->service_names);
        entry.profile = this->checker.required_text(table, "profile");
        if (!entry.profile.empty() && this->config.find_profile(entry.profile) == nullptr) {
            this->checker.report(table, "profile", "there is no profile '" + entry.profile + "'");
        }
        entry.replicas =
            static_cast<std::uint32_t>(this->checker.integer(table, "replicas", 1, replica_count_range));
        this->config.services.push_back(std::move(entry));
    }

    void read_customer(const toml::table& table)
    {
        this->checker.reject_unknown(table, {"name", "key_sha256", "weight", "requests_per_second"});
        customer_rule entry;
        entry.name = this->read_name(table, this->customer_names);
        entry.key_sha256 = this->checker.required_text(table, "key_sha256");
        this->check_key(table, entry.key_sha256);
        entry.weight = this->checker.number(table, "weight", entry.weight, weight_range);
        entry.requests_per_second =
            this->checker.number(table, "requests_per_second", entry.requests_per_second, rate_range);
        this->config.customers.push_back(std::move(entry));
    }

    void check_key(const toml::table& table, const std::string& digest)
    {
        constexpr std::size_t digest_length = 64;
        if (digest.empty()) {
            return;
        }
        const bool is_hex = std::all_of(digest.begin(), digest.end(), [](unsigned char c) {
            return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
        });
        if (digest.size() != digest_length || !is_hex) {
            this->checker.report(table, "key_sha256",
                                 "'key_sha256' must be 64 hexadecimal digits; see 'corianderctl hash-key'");
        }
        else if (!this->customer_keys.insert(digest).second) {
            this->checker.report(table, "key_sha256", "two customers have the same key");
        }
    }

    toml_checker checker;
    configuration config;
    std::set<std::string> profile_names;
    std::set<std::string> service_names;
    std::set<std::string> customer_names;
    std::set<std::string> customer_keys;
};

} // namespace

const profile* configuration::find_profile(std::string_view name) const
{
    return find_named(this->profiles, name);
}

const service_rule* configuration::find_service(std::string_view name) const
{
    return find_named(this->services, name);
}

const profile* configuration::profile_of(std::string_view service) const
{
    const auto* rule = this->find_service(service);
    return rule == nullptr ? nullptr : this->find_profile(rule->profile);
}

const customer_rule* configuration::find_customer_by_key(std::string_view key_sha256) const
{
    const auto found = std::find_if(this->customers.begin(), this->customers.end(),
                                    [&](const auto& entry) { return entry.key_sha256 == key_sha256; });
    return found == this->customers.end() ? nullptr : &*found;
}

checked_configuration parse_configuration(std::string_view toml, std::string_view file)
{
    return configuration_reader{file}.read(toml);
}

} // namespace coriander
