#pragma once

#include <cstdint>
#include <string_view>

namespace coriander {

/// Where a daemon got a manifest from.
enum class manifest_source { table, peer };

/// The name used in log lines.
[[nodiscard]] constexpr const char* name_of(manifest_source source) noexcept
{
    return source == manifest_source::table ? "store" : "peer";
}

/// A manifest as it was written.
struct written_manifest {
    std::uint64_t version = 0;
    std::string_view text;
};

/// Whether a manifest replaces the one in force: if its version is higher, or if the table has another text
/// under the same version. The latter happens if the table was restored to before that version, which was
/// then used again. A lower version never replaces a higher one: a confirmed manifest stays in force although
/// the table has lost it.
[[nodiscard]] constexpr bool replaces_manifest(const written_manifest& received, manifest_source source,
                                               const written_manifest& in_force) noexcept
{
    return received.version > in_force.version ||
           (received.version == in_force.version && source == manifest_source::table &&
            received.text != in_force.text);
}

} // namespace coriander
