#include "coriander/row_ledger.hpp"

#include <catch2/catch.hpp>

namespace coriander {
namespace {

changed_row written(row_version version)
{
    return {"a", "value", version};
}

changed_row deleted(row_version version)
{
    return {"a", std::nullopt, version};
}

row_verdict judge_change(const row_ledger& ledger, const changed_row& change)
{
    return ledger.judge(change, change.version);
}

} // namespace

TEST_CASE("row ledger: an existing row is compared with its own version")
{
    row_ledger ledger;
    ledger.record(written({1, 5}), 0_s);
    ledger.advance({1, 9});
    CHECK(judge_change(ledger, written({1, 4})) == row_verdict::outdated);
    CHECK(judge_change(ledger, written({1, 5})) == row_verdict::known);
    CHECK(judge_change(ledger, written({1, 10})) == row_verdict::newer);
    CHECK(judge_change(ledger, deleted({1, 4})) == row_verdict::outdated);
    CHECK(judge_change(ledger, deleted({1, 10})) == row_verdict::newer);
    // A change that a peer's delta claimed to contain and lacked.
    CHECK(judge_change(ledger, written({1, 7})) == row_verdict::newer);
}

TEST_CASE("row ledger: a deleted row is compared with its deletion, or with the version of the whole table")
{
    row_ledger ledger;
    ledger.record(written({1, 5}), 0_s);
    ledger.record(deleted({1, 8}), 0_s);
    const auto is_covered = GENERATE(false, true);
    if (is_covered) {
        ledger.advance({1, 8});
    }
    CHECK(ledger.deletion_count() == (is_covered ? 0 : 1));
    CHECK(judge_change(ledger, written({1, 5})) == row_verdict::outdated);
    CHECK(judge_change(ledger, written({1, 7})) == row_verdict::outdated);
    CHECK(judge_change(ledger, written({1, 9})) == row_verdict::newer);
    CHECK(judge_change(ledger, deleted({1, 8})) == row_verdict::known);
    CHECK(judge_change(ledger, deleted({1, 9})) == row_verdict::newer);
}

TEST_CASE("row ledger: a page tells states as of its own version")
{
    row_ledger ledger;
    ledger.advance({1, 9});
    // The row was missed, for example in a delta that claimed to contain it.
    CHECK(ledger.judge(written({1, 5}), {1, 9}) == row_verdict::newer);
    CHECK(ledger.judge(written({1, 5}), {1, 8}) == row_verdict::outdated);
}

TEST_CASE("row ledger: all versions of an era come after those of earlier ones")
{
    row_ledger ledger;
    ledger.record(written({1, 50}), 0_s);
    ledger.advance({1, 90});
    CHECK(judge_change(ledger, written({2, 3})) == row_verdict::newer);
    ledger.record(deleted({2, 3}), 0_s);
    CHECK(judge_change(ledger, written({1, 99})) == row_verdict::outdated);
    CHECK(judge_change(ledger, written({2, 2})) == row_verdict::outdated);
}

TEST_CASE("row ledger: deletions that no version of the table covers are forgotten after a minute")
{
    row_ledger ledger;
    ledger.record({"a", std::nullopt, {1, 1}}, 0_s);
    ledger.record({"b", std::nullopt, {1, 2}}, 60_s);
    CHECK(ledger.deletion_count() == 2);
    ledger.record({"c", std::nullopt, {1, 3}}, 61_s);
    CHECK(ledger.deletion_count() == 2);
}

TEST_CASE("row ledger: any update is newer once the store gives out versions anew")
{
    row_ledger ledger;
    ledger.record(written({1, 50}), 0_s);
    ledger.record({"b", std::nullopt, {1, 95}}, 0_s);
    ledger.advance({1, 90});
    ledger.forget_versions();
    CHECK(judge_change(ledger, written({1, 3})) == row_verdict::newer);
    CHECK(judge_change(ledger, {"b", "value", {1, 4}}) == row_verdict::newer);
    CHECK(ledger.find("a").has_value());
}

} // namespace coriander
