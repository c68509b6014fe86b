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

/// Base URLs of the platform's services.
struct platform_urls {
    std::string table;
    std::string objects;
    std::string host_list;
};

/// Accesses the platform's table, object store and host list over HTTP. Models `table_store`. Each method
/// blocks for at most `call_timeout`. Thread-safe.
class platform_client {
public:
    explicit platform_client(platform_urls urls, time_ms call_timeout = time_ms{1500});

    [[nodiscard]] result<std::optional<table_row>> read(std::string_view key);
    [[nodiscard]] result<std::vector<table_row>> scan(std::string_view prefix);

    /// Applies all writes or none. The outcome is `unknown` if the response was lost.
    [[nodiscard]] commit_outcome commit(std::span<const table_write> writes);

    /// Errors: `not_found`, `unavailable`.
    [[nodiscard]] result<std::string> get_object(std::string_view name);
    [[nodiscard]] result<bool> put_object(std::string_view name, std::string_view content);

    /// Returns the complete host list. Errors: `unavailable`.
    [[nodiscard]] result<std::vector<host_record>> list_hosts();

    /// Number of table reads and writes so far, for metrics.
    [[nodiscard]] std::uint64_t table_reads() const noexcept { return this->read_count; }
    [[nodiscard]] std::uint64_t table_writes() const noexcept { return this->write_count; }

private:
    [[nodiscard]] http_call make_call(std::string method, std::string url) const;

    platform_urls urls;
    time_ms call_timeout;
    http_client client;
    std::atomic<std::uint64_t> read_count{0};
    std::atomic<std::uint64_t> write_count{0};
};

static_assert(table_store<platform_client>);

} // namespace coriander
