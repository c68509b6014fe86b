#include "gateway/relay_mark.hpp"

#include "gateway/forged_marks.hpp"
#include "gateway/relay_keys.hpp"
#include "peer/peer_message.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <string>
#include <vector>

namespace coriander {
namespace {

const mac_key key{1, 2, 3};

/// The texts of a request that its mark covers.
struct covered_texts {
    std::vector<std::string> fields{"edge-1", "POST", "/a?b=c", "desk.example", "a1", "60000"};

    [[nodiscard]] marked_request view() const
    {
        const auto& texts = this->fields;
        return {texts[0], texts[1], texts[2], texts[3], texts[4], texts[5]};
    }
};

/// `text` with one character replaced by another one, or with one added at the end.
std::string changed(std::string text)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    if (at == text.size()) {
        return text + *rc::gen::arbitrary<char>();
    }
    const auto before = text[at];
    text[at] = *rc::gen::distinctFrom(before);
    return text;
}

} // namespace

TEST_CASE("relay mark: the recipient recognizes the mark of the request it was made for")
{
    const covered_texts request;
    CHECK(is_valid_relay_mark(key, make_relay_mark(key, "edge-2", request.view()), request.view()));
    CHECK(is_valid_relay_mark(key, make_relay_mark(key, "a name", request.view()), request.view()));
}

TEST_CASE("relay mark: texts that are no mark are rejected")
{
    const covered_texts request;
    const std::string digits(64, 'a');
    const std::string no_mark = digits + " edge-2";
    for (const auto length : {0, 1, 63, 64, 65, 66, 71}) {
        CHECK_FALSE(is_valid_relay_mark(key, no_mark.substr(0, length), request.view()));
    }
    CHECK_FALSE(is_valid_relay_mark(key, "1", request.view()));
    const auto unnamed = make_relay_mark(key, "", request.view());
    CHECK_FALSE(is_valid_relay_mark(key, unnamed, request.view()));
}

TEST_CASE("relay mark: any change of the mark, its key or a covered field makes it invalid")
{
    rc::prop("any change of the mark", [] {
        const covered_texts request;
        const auto mark = changed(make_relay_mark(key, "edge-2", request.view()));
        RC_ASSERT_FALSE(is_valid_relay_mark(key, mark, request.view()));
    });
    rc::prop("any change of a covered field", [] {
        covered_texts request;
        const auto mark = make_relay_mark(key, "edge-2", request.view());
        auto& field = request.fields.at(*rc::gen::inRange<std::size_t>(0, request.fields.size()));
        field = changed(field);
        RC_ASSERT_FALSE(is_valid_relay_mark(key, mark, request.view()));
    });
    rc::prop("any change of the key", [] {
        const covered_texts request;
        auto other = key;
        auto& byte = other.at(*rc::gen::inRange<std::size_t>(0, other.size()));
        byte = *rc::gen::distinctFrom(byte);
        const auto mark = make_relay_mark(other, "edge-2", request.view());
        RC_ASSERT_FALSE(is_valid_relay_mark(key, mark, request.view()));
    });
}

TEST_CASE("relay mark: characters that move from one covered field into the next make it invalid")
{
    covered_texts request;
    const auto mark = make_relay_mark(key, "edge-2", request.view());
    request.fields[0] = "edge-1P";
    request.fields[1] = "OST";
    CHECK_FALSE(is_valid_relay_mark(key, mark, request.view()));
}

TEST_CASE("message mac: the code is an HMAC-SHA-256 of the fields with their lengths")
{
    // printf '1:a2:bc' | openssl dgst -sha256 -mac HMAC -macopt hexkey:01020300000000000000000000000000
    const std::array<std::string_view, 2> fields{"a", "bc"};
    const auto code = compute_mac(key, fields);
    std::string text;
    for (const auto byte : code) {
        text += "0123456789abcdef"[byte >> 4U];
        text += "0123456789abcdef"[byte & 0xFU];
    }
    CHECK(text == "dded2a6c42da33e38ee2d3d4412fb3eaabf41b952ec594a9b0ee6e2b4fd443c1");
}

TEST_CASE("message mac: two daemons do not draw the same key")
{
    CHECK(draw_mac_key() != draw_mac_key());
}

TEST_CASE("relay keys: the key of an earlier process of a gateway is not used for its present one")
{
    relay_keys keys;
    keys.on_key("edge-2", 7, key);
    CHECK(keys.find("edge-2", 7) == key);
    CHECK_FALSE(keys.find("edge-2", 8));
    keys.on_key("edge-2", 8, mac_key{9});
    keys.on_key("edge-2", 7, key); // Delayed.
    CHECK(keys.find("edge-2", 8) == mac_key{9});
    CHECK_FALSE(keys.find("edge-2", 7));
}

TEST_CASE("relay keys: a key is sent to peers unchanged, and older builds send none")
{
    peer_message message;
    message.relay_key = mac_key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 255};
    CHECK(decode_peer_message(encode_peer_message(message)).value().relay_key == message.relay_key);
    CHECK_FALSE(decode_peer_message(encode_peer_message({})).value().relay_key);
}

TEST_CASE("forged marks: thousands of them are logged in a few lines that count all")
{
    forged_marks marks;
    std::size_t lines = 0;
    std::size_t counted = 0;
    constexpr int seconds = 20;
    for (int i = 0; i <= seconds * 1000; ++i) {
        if (const auto count = marks.add(time_ms{i})) {
            ++lines;
            counted += *count;
        }
    }
    CHECK(lines == 3);
    CHECK(counted == seconds * 1000 + 1);
}

} // namespace coriander
