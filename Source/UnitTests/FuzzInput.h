#pragma once

/// Inputs of the fuzz tests: valid texts with odd changes. Runs with the same seed and count are the same.

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>

/// Makes the changes.
class FuzzInput {
public:
    explicit FuzzInput(unsigned seed)
        : m_random(seed)
    {
    }

    /// Number of inputs of each fuzz test: MARIGOLD_FUZZ_INPUTS if set, for longer runs by hand.
    static unsigned count()
    {
        constexpr unsigned usual = 20000;
        const auto* text = std::getenv("MARIGOLD_FUZZ_INPUTS"); // NOLINT(concurrency-mt-unsafe): nothing changes the environment.
        return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : usual;
    }

    /// Below `limit`, which is above zero.
    std::size_t below(std::size_t limit) { return m_random() % limit; }

    /// One to four changes.
    std::string mutate(std::string text)
    {
        using Change = void (FuzzInput::*)(std::string&);
        static constexpr std::array<Change, 6> s_changes { &FuzzInput::changeByte, &FuzzInput::replaceValue, &FuzzInput::replaceValue, &FuzzInput::insertToken, &FuzzInput::erase, &FuzzInput::duplicate };
        constexpr std::size_t maximumChanges = 4;
        for (auto n = below(maximumChanges) + 1; n > 0; --n)
            (this->*s_changes.at(below(s_changes.size())))(text);
        return text;
    }

    /// Values that a field may be given instead of its own.
    std::string_view oddValue()
    {
        static constexpr std::array<std::string_view, 28> s_values { "0", "-0", "-1", "1", "0.5", "65535", "65536", "99999", "4294967295", "4294967296", "9007199254740993", "9223372036854775807",
            "9223372036854775808", "18446744073709551615", "18446744073709551616", "-9223372036854775808", "1e18", "9e18", "1e300", "1e400", "-1e400", "null", "true", "\"\"", "\"80x\"", "{}", "[]", "[[[[[[[[" };
        return s_values.at(below(s_values.size()));
    }

private:
    std::size_t position(const std::string& text) { return below(text.size() + 1); }

    void changeByte(std::string& text)
    {
        if (!text.empty())
            text[below(text.size())] = static_cast<char>(m_random());
    }

    /// Replaces what follows a colon or comma, up to the next separator.
    void replaceValue(std::string& text)
    {
        auto begin = text.find_first_of(":,[", position(text));
        begin = begin == std::string::npos ? 0 : begin + 1;
        text.replace(begin, std::min(text.find_first_of(",}]", begin), text.size()) - begin, oddValue());
    }

    void insertToken(std::string& text) { text.insert(position(text), oddValue()); }

    void erase(std::string& text)
    {
        constexpr std::size_t maximumErased = 12;
        const auto begin = position(text);
        text.erase(begin, below(maximumErased));
    }

    void duplicate(std::string& text)
    {
        constexpr std::size_t maximumCopied = 40;
        const auto piece = text.substr(position(text), below(maximumCopied));
        text.insert(position(text), piece);
    }

    std::mt19937 m_random;
};
