#include "Table.h"

#include <algorithm>
#include <utility>

namespace Ctl {

namespace {

    constexpr std::size_t columnGap = 2;

    /// Number of code points in UTF-8 text: continuation bytes aren't counted.
    std::size_t widthOf(const std::string& text)
    {
        return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
    }

} // namespace

std::string printable(std::string text)
{
    constexpr unsigned char deleteCharacter = 0x7F;
    for (char& c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < ' ' || byte == deleteCharacter)
            c = '?';
    }
    return text;
}

Table::Table(std::vector<std::string> headings)
    : m_rows { std::move(headings) }
{
}

void Table::addRow(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), printable);
    m_rows.push_back(std::move(cells));
}

std::string Table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (std::size_t column = 0; column < widths.size(); ++column)
            widths[column] = std::max(widths[column], widthOf(row[column]));
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column)
            line += row[column] + std::string(widths[column] - widthOf(row[column]) + columnGap, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace Ctl
