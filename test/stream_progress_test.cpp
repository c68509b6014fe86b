#include "coriander/stream_progress.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

namespace coriander {
namespace {

stream_event token(const char* attempt, std::uint64_t index, const char* text = "word ")
{
    return {attempt, index, text, false};
}

stream_event end_after(const char* attempt, std::uint64_t count)
{
    return {attempt, count, {}, true};
}

} // namespace

TEST_CASE("stream progress: tokens in order are forwarded and the end completes the answer")
{
    stream_progress progress;
    progress.begin_attempt("a");
    CHECK(progress.accept(token("a", 0)) == stream_step::emit);
    CHECK(progress.accept(token("a", 1)) == stream_step::emit);
    CHECK(progress.accept(end_after("a", 2)) == stream_step::finish);
    CHECK(progress.is_complete());
    CHECK(progress.text() == "word word ");
}

TEST_CASE("stream progress: a repeated token is dropped")
{
    stream_progress progress;
    progress.begin_attempt("a");
    CHECK(progress.accept(token("a", 0)) == stream_step::emit);
    CHECK(progress.accept(token("a", 0)) == stream_step::drop);
    CHECK(progress.next_index() == 1);
}

TEST_CASE("stream progress: a missing token aborts the attempt")
{
    stream_progress progress;
    progress.begin_attempt("a");
    CHECK(progress.accept(token("a", 1)) == stream_step::abort_attempt);
    CHECK(progress.text().empty());
}

TEST_CASE("stream progress: an end event before the last token aborts the attempt")
{
    stream_progress progress;
    progress.begin_attempt("a");
    CHECK(progress.accept(token("a", 0)) == stream_step::emit);
    CHECK(progress.accept(end_after("a", 3)) == stream_step::abort_attempt);
    CHECK_FALSE(progress.is_complete());
}

TEST_CASE("stream progress: late tokens of an abandoned attempt are dropped")
{
    stream_progress progress;
    progress.begin_attempt("a");
    CHECK(progress.accept(token("a", 0)) == stream_step::emit);
    progress.begin_attempt("b");
    CHECK(progress.accept(token("a", 1, "late ")) == stream_step::drop);
    CHECK(progress.accept(end_after("a", 1)) == stream_step::drop);
    CHECK(progress.accept(token("b", 1)) == stream_step::emit);
}

TEST_CASE(
    "stream progress: over random attempts, resumes, repeats and losses the caller receives each token once")
{
    rc::prop("no token twice, none missing", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        const std::uint64_t count = 1 + random() % 30;
        stream_progress progress;
        std::string received;
        std::uint64_t emitted = 0;
        for (int attempt = 0; !progress.is_complete() && attempt < 500; ++attempt) {
            const auto id = std::to_string(attempt);
            progress.begin_attempt(id);
            // An engine resumes at the requested index or, if it ignores the request, at the start.
            std::uint64_t index = random() % 4 == 0 ? 0 : progress.next_index();
            bool is_aborted = false;
            while (!is_aborted && !progress.is_complete()) {
                const bool at_end = index == count;
                stream_event event{id, index, std::to_string(index) + " ", at_end};
                switch (random() % 8) {
                case 0:
                    event.attempt = std::to_string(attempt - 1); // A late event of another attempt.
                    break;
                case 1:
                    ++index; // A token is lost.
                    continue;
                default:
                    break;
                }
                if (index > count) {
                    break;
                }
                const auto step = progress.accept(event);
                if (step == stream_step::emit) {
                    RC_ASSERT(event.index == emitted);
                    ++emitted;
                    received += event.text;
                }
                is_aborted = step == stream_step::abort_attempt;
                ++index;
            }
        }
        std::string expected;
        for (std::uint64_t i = 0; i < count; ++i) {
            expected += std::to_string(i) + " ";
        }
        RC_ASSERT(expected.starts_with(received));
        RC_ASSERT(received == progress.text());
        if (progress.is_complete()) {
            RC_ASSERT(received == expected);
        }
    });
}

} // namespace coriander
