/// JSON of the platform: malformed texts, fields of another type and numbers out of range.

#include "JsonText.h"

#include <doctest/doctest.h>
#include <limits>
#include <random>
#include <string>

using PlatformAdapter::JsonText;
using PlatformAdapter::JsonWriter;

TEST_CASE("a text that isn't exactly one JSON object is refused")
{
    for (const std::string text : { "", " ", "[]", "1", "null", "\"a\"", "{", "{}}", "{\"a\":}", "{\"a\":1,}", "{'a':1}", "{} x", "{\"a\":NaN}", "// c\n{}" }) {
        CAPTURE(text);
        CHECK_FALSE(JsonText::parseObject(text));
    }
    CHECK_FALSE(JsonText::parseObject(std::string("{\"a\":1}\0x", 9)));
}

TEST_CASE("a deeply nested text doesn't overflow the stack")
{
    constexpr std::size_t depth = 1000000;
    CHECK(JsonText::parseObject("{\"a\":" + std::string(depth, '[') + std::string(depth, ']') + "}"));
    CHECK_FALSE(JsonText::parseObject("{\"a\":" + std::string(depth, '[')));
}

TEST_CASE("missing fields and fields of another type read as the default")
{
    const auto text = JsonText::parseObject(R"({"n":7,"t":"x","l":[1,"y"],"o":{"f":true},"z":null})");
    REQUIRE(text);
    CHECK((*text)["n"].number() == 7);
    CHECK((*text)["n"].text().empty());
    CHECK((*text)["t"].text() == "x");
    CHECK((*text)["t"].number(-1) == -1);
    CHECK((*text)["l"].size() == 2);
    CHECK((*text)["l"].at(1).text() == "y");
    CHECK((*text)["l"].at(2).number(5) == 5);
    CHECK((*text)["l"]["f"].size() == 0);
    CHECK((*text)["o"]["f"].flag());
    CHECK_FALSE((*text)["o"]["g"]["h"].flag());
    CHECK((*text)["z"].text().empty());
    for (const auto it : (*text)["t"])
        CHECK(it.isNumber());
}

TEST_CASE("numbers out of range and negative numbers never wrap around")
{
    const auto text = JsonText::parseObject(R"({"big":18446744073709551615,"huge":1e300,"low":-5,"half":2.5,"less":-1e300})");
    REQUIRE(text);
    CHECK((*text)["big"].unsignedNumber() == std::numeric_limits<std::uint64_t>::max());
    CHECK((*text)["big"].number(3) == 3);
    CHECK((*text)["huge"].number(3) == 3);
    CHECK((*text)["huge"].unsignedNumber() == 0);
    CHECK((*text)["less"].number(3) == 3);
    CHECK((*text)["low"].number() == -5);
    CHECK((*text)["low"].unsignedNumber() == 0);
    CHECK((*text)["half"].number() == 2);
}

TEST_CASE("a number outside a range isn't read as one inside it")
{
    const auto text = JsonText::parseObject(R"({"n":7,"half":6.5,"low":-1,"big":18446744073709551615,"next":9223372036854775808,"huge":1e300,"less":-1e300,"text":"7","none":null})");
    REQUIRE(text);
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    CHECK((*text)["n"].numberIn(0, 7) == 7);
    CHECK((*text)["half"].numberIn(0, 7) == 6);
    CHECK_FALSE((*text)["n"].numberIn(0, 6));
    CHECK_FALSE((*text)["n"].numberIn(8, most));
    CHECK((*text)["low"].numberIn(-1, 0) == -1);
    for (const auto* field : { "low", "big", "next", "huge", "less", "text", "none", "missing" }) {
        CAPTURE(field);
        CHECK_FALSE((*text)[field].numberIn(0, most));
    }
}

TEST_CASE("a number too large for a double doesn't make the rest of a body unreadable, but an entry")
{
    const std::string body = R"({"a":[1e400,-1.5E+999,2e2,"1e400\"1e400",{"b":1e400,"c":7}],"d":)" + std::string(400, '9') + "}";
    const auto text = JsonText::parseObject(body);
    REQUIRE(text);
    CHECK((*text)["a"].size() == 5);
    CHECK_FALSE((*text)["a"].at(0).isNumber());
    CHECK_FALSE((*text)["a"].at(1).isNumber());
    CHECK((*text)["a"].at(2).number() == 200);
    CHECK((*text)["a"].at(3).text() == "1e400\"1e400");
    CHECK((*text)["a"].at(4)["b"].exists());
    CHECK((*text)["a"].at(4)["c"].number() == 7);
    CHECK_FALSE((*text)["d"].isNumber());
    CHECK_FALSE(JsonText::parseEntry(body));
    for (const std::string number : { "1e400", "-1-1e400", "01e400", "1.e400", "1e400e", "1x400", "--1e400", ".1e400", "1e400.5" }) {
        CAPTURE(number);
        CHECK(JsonText::parseObject("{\"a\":1e400,\"b\":" + number + "}").has_value() == (number == "1e400"));
    }
    CHECK_FALSE(JsonText::parseObject("{\"a\":1e400"));
}

TEST_CASE("an entry with bytes that aren't UTF-8 is refused")
{
    CHECK(JsonText::parseEntry("{\"a\":\"\xc3\xbc\"}"));
    for (const std::string bytes : { "\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf5\x80\x80\x80" }) {
        CAPTURE(bytes);
        CHECK_FALSE(JsonText::parseEntry("{\"a\":\"" + bytes + "\"}"));
    }
}

TEST_CASE("control characters and extreme numbers survive writing and reading")
{
    std::string bytes;
    for (int c = 1; c < 128; ++c)
        bytes += static_cast<char>(c);
    JsonWriter writer;
    writer.text("t", bytes).number("n", std::numeric_limits<std::int64_t>::min()).unsignedNumber("u", std::numeric_limits<std::uint64_t>::max());
    writer.beginArray("l").beginObject().text("k", "ü").endObject().item("x").endArray();
    const auto text = JsonText::parseObject(writer.take());
    REQUIRE(text);
    CHECK((*text)["t"].text() == bytes);
    CHECK((*text)["n"].number() == std::numeric_limits<std::int64_t>::min());
    CHECK((*text)["u"].unsignedNumber() == std::numeric_limits<std::uint64_t>::max());
    CHECK((*text)["l"].at(0)["k"].text() == "ü");
    CHECK((*text)["l"].at(1).text() == "x");
}
