#pragma once

/// Example documents and edits of them, for tests of objects.

#include "Objects/ObjectSetLoader.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <string>

namespace ObjectTests {

/// Root of the source tree.
inline const std::filesystem::path sourceRoot { MARIGOLD_SOURCE_ROOT };

/// Text of a file; the path is relative to the source root.
inline std::string readText(const std::string& path)
{
    const auto documents = Objects::ObjectSetLoader::readFiles({ sourceRoot / path });
    REQUIRE(documents.isOk());
    return documents.value().front().text;
}

/// Text of the demo's only document.
inline std::string demoText()
{
    return readText("examples/demo/objects.jsonc");
}

/// Replaces the first occurrence of `from`, which must exist.
inline std::string edited(std::string text, const std::string& from, const std::string& to)
{
    const auto it = text.find(from);
    REQUIRE_MESSAGE(it != std::string::npos, from);
    return text.replace(it, from.size(), to);
}

/// Loads a set from a text, which must be valid.
inline Objects::ObjectSet validSet(const std::string& text)
{
    auto set = Objects::ObjectSetLoader::loadText("demo", text);
    REQUIRE_MESSAGE(set.isOk(), (set.isOk() ? "" : set.error().what()));
    return set.take();
}

} // namespace ObjectTests
