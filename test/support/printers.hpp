#pragma once

#include "coriander/time_ms.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace Catch {

/// Prints durations in failure messages.
template <>
struct StringMaker<coriander::time_ms> {
    static std::string convert(const coriander::time_ms& value)
    {
        return std::to_string(value.count()) + " ms";
    }
};

} // namespace Catch
