// What marking a request that is passed on to another gateway costs, and checking a mark.

#include "gateway/relay_mark.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace coriander {
namespace {

const marked_request request{"edge-gent-1",      "POST", "/chat/completions?x=1", "desk.example",
                             "9c41d07be2a35f68", "8000"};

void making_a_mark(benchmark::State& state)
{
    const auto key = draw_mac_key();
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(make_relay_mark(key, "edge-gent-2", request));
    }
}
BENCHMARK(making_a_mark);

void checking_a_mark(benchmark::State& state)
{
    const auto key = draw_mac_key();
    const auto mark = make_relay_mark(key, "edge-gent-2", request);
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(is_valid_relay_mark(key, mark, request));
    }
}
BENCHMARK(checking_a_mark);

/// A value that does not have the form of a mark is rejected without a code.
void checking_a_bare_mark(benchmark::State& state)
{
    const auto key = draw_mac_key();
    for (auto unused : state) {
        (void)unused;
        benchmark::DoNotOptimize(is_valid_relay_mark(key, "1", request));
    }
}
BENCHMARK(checking_a_bare_mark);

} // namespace
} // namespace coriander
