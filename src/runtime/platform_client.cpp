#include "runtime/platform_client.hpp"

#include "core/json_text.hpp"
#include "runtime/url.hpp"

namespace coriander {
namespace {

constexpr int status_conflict = 409;
constexpr int status_not_found = 404;

table_row row_from(const json_object& item)
{
    return {text_member(item, "key"), text_member(item, "value"),
            static_cast<std::uint64_t>(integer_member(item, "version"))};
}

error unavailable(std::string_view what, const http_result& end)
{
    const auto detail =
        end.outcome == http_outcome::answered ? "status " + std::to_string(end.status) : end.message;
    return {error_kind::unavailable, std::string{what} + ": " + detail};
}

std::string commit_body(std::span<const table_write> writes)
{
    json_object list = json_object::array();
    for (const auto& write : writes) {
        json_object item{{"key", write.key}, {"expected_version", write.expected_version}};
        item["value"] = write.value ? json_object(*write.value) : json_object(nullptr);
        list.push_back(std::move(item));
    }
    return to_text({{"writes", std::move(list)}});
}

commit_outcome commit_answer(const http_result& end)
{
    const auto object = parse_object(end.body);
    if (!object) {
        return {commit_state::unknown, {}, 0};
    }
    if (bool_member(*object, "applied")) {
        return {commit_state::applied, {}, static_cast<std::uint64_t>(integer_member(*object, "version"))};
    }
    commit_outcome outcome{commit_state::conflict, {}, 0};
    for (const auto& item : array_member(*object, "current")) {
        outcome.current.push_back(row_from(item));
    }
    return outcome;
}

} // namespace

platform_client::platform_client(platform_urls urls, time_ms call_limit)
    : urls{std::move(urls)}, call_limit{call_limit}
{
}

http_call platform_client::call_to(std::string method, std::string url) const
{
    http_call call;
    call.method = std::move(method);
    call.url = std::move(url);
    call.total_timeout = this->call_limit;
    return call;
}

result<std::optional<table_row>> platform_client::read(std::string_view key)
{
    ++this->reads;
    const auto end =
        this->client.perform(this->call_to("GET", this->urls.table + "/v1/rows?key=" + percent_encoded(key)));
    const auto object = end.ok() ? parse_object(end.body) : std::nullopt;
    if (!object) {
        return unavailable("the table can't be read", end);
    }
    const auto row = object_member(*object, "row");
    return row ? std::optional{row_from(*row)} : std::nullopt;
}

result<std::vector<table_row>> platform_client::scan(std::string_view prefix)
{
    ++this->reads;
    const auto end = this->client.perform(
        this->call_to("GET", this->urls.table + "/v1/rows?prefix=" + percent_encoded(prefix)));
    const auto object = end.ok() ? parse_object(end.body) : std::nullopt;
    if (!object) {
        return unavailable("the table can't be read", end);
    }
    std::vector<table_row> rows;
    for (const auto& item : array_member(*object, "rows")) {
        rows.push_back(row_from(item));
    }
    return rows;
}

commit_outcome platform_client::commit(std::span<const table_write> writes)
{
    ++this->writes;
    auto call = this->call_to("POST", this->urls.table + "/v1/rows");
    call.body = commit_body(writes);
    call.headers.push_back({"Content-Type", "application/json"});
    const auto end = this->client.perform(std::move(call));
    if (end.ok() || (end.outcome == http_outcome::answered && end.status == status_conflict)) {
        return commit_answer(end);
    }
    // Only a request that never left is surely without effect: the contract promises nothing for an error
    // status.
    const bool never_left = end.outcome == http_outcome::not_sent;
    return {never_left ? commit_state::not_applied : commit_state::unknown, {}, 0};
}

result<std::string> platform_client::get_object(std::string_view name)
{
    const auto end = this->client.perform(
        this->call_to("GET", this->urls.objects + "/v1/objects?name=" + percent_encoded(name)));
    if (end.outcome == http_outcome::answered && end.status == status_not_found) {
        return fail(error_kind::not_found, "there is no object '" + std::string{name} + "'");
    }
    if (!end.ok()) {
        return unavailable("the object store can't be read", end);
    }
    return end.body;
}

result<bool> platform_client::put_object(std::string_view name, std::string_view content)
{
    auto call = this->call_to("PUT", this->urls.objects + "/v1/objects?name=" + percent_encoded(name));
    call.body = std::string{content};
    const auto end = this->client.perform(std::move(call));
    if (!end.ok()) {
        return unavailable("the object store can't be written", end);
    }
    return true;
}

result<std::vector<host_record>> platform_client::list_hosts()
{
    const auto end = this->client.perform(this->call_to("GET", this->urls.host_list + "/v1/hosts"));
    if (!end.ok()) {
        return unavailable("the host list can't be read", end);
    }
    return decode_host_list(end.body);
}

} // namespace coriander
