#pragma once

/// Plain-text tables.

#include <string>
#include <vector>

namespace Ctl {

/// Columns as wide as their widest cell, two spaces between them. Control characters are shown as '?'.
class Table {
public:
    explicit Table(std::vector<std::string> headings);

    /// Missing cells are empty; cells past the last heading are left out.
    void add(std::vector<std::string> cells);
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows; ///< Headings first.
};

/// The text with control characters shown as '?', so that names and reasons can't drive a terminal.
std::string printable(std::string);

} // namespace Ctl
