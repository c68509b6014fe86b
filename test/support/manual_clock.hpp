#pragma once

#include "coriander/clock.hpp"

namespace coriander {

/// A clock that advances only when `advance` is called.
class manual_clock {
public:
    explicit manual_clock(time_ms start = 1'000'000_ms) : current{start} {}

    [[nodiscard]] time_ms now() const noexcept { return this->current; }
    void advance(time_ms length) { this->current = this->current + length; }

private:
    time_ms current;
};

} // namespace coriander
