#pragma once

#include "coriander/host.hpp"
#include "coriander/table_store.hpp"
#include "http/http_client.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// Where the platform's services are.
struct platform_urls {
    std::string table;
    std::string objects;
    std::string host_list;
};

/// The platform's table, object store and host list over HTTP; meets the concept `table_store`.
/// Every method blocks for at most the call limit. Thread-safe.
class platform_client {
public:
    explicit platform_client(platform_urls urls, time_ms call_limit = time_ms{1500});

    [[nodiscard]] result<std::optional<table_row>> read(std::string_view key);
    [[nodiscard]] result<std::vector<table_row>> scan(std::string_view prefix);

    /// All writes or none. `unknown` when the answer was lost.
    [[nodiscard]] commit_outcome commit(std::span<const table_write> writes);

    /// Errors: `not_found`, `unavailable`.
    [[nodiscard]] result<std::string> get_object(std::string_view name);
    [[nodiscard]] result<bool> put_object(std::string_view name, std::string_view content);

    /// The whole host list. Errors: `unavailable`.
    [[nodiscard]] result<std::vector<host_record>> list_hosts();

    /// Reads and writes of the table so far, for metrics.
    [[nodiscard]] std::uint64_t table_reads() const noexcept { return this->reads; }
    [[nodiscard]] std::uint64_t table_writes() const noexcept { return this->writes; }

private:
    [[nodiscard]] http_call call_to(std::string method, std::string url) const;

    platform_urls urls;
    time_ms call_limit;
    http_client client;
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
};

static_assert(table_store<platform_client>);

} // namespace coriander
