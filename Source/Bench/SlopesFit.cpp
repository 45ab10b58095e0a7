#include "SlopesFit.h"

#include <cmath>
#include <cstdio>

namespace Slopes {

namespace {

    constexpr double largestWithDecimals = 1000;

    /// Four significant digits, without an exponent.
    std::string number(double value)
    {
        char buf[64];
        if (std::abs(value) >= largestWithDecimals)
            std::snprintf(buf, sizeof buf, "%.0f", value);
        else
            std::snprintf(buf, sizeof buf, "%.4g", std::abs(value) < 1e-9 ? 0 : value);
        return buf;
    }

    double mean(const std::vector<Point>& points, double Point::*member)
    {
        double sum = 0;
        for (const auto& it : points)
            sum += it.*member;
        return sum / static_cast<double>(points.size());
    }

} // namespace

Line fitLine(const std::vector<Point>& points)
{
    const double x = mean(points, &Point::size);
    const double y = mean(points, &Point::value);
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const auto& it : points) {
        xx += (it.size - x) * (it.size - x);
        xy += (it.size - x) * (it.value - y);
        yy += (it.value - y) * (it.value - y);
    }
    Line line;
    line.slope = xx > 0 ? xy / xx : 0;
    line.fixed = y - line.slope * x;
    line.fit = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
    return line;
}

std::string tableHeading()
{
    return "| Quantity | Measured (size: value) | Fixed | Slope | Fit |\n| --- | --- | --- | --- | --- |\n";
}

std::string tableRow(const Series& series)
{
    const Line line = fitLine(series.points);
    std::string row = "| " + series.name + ", " + series.unit + " | ";
    for (const auto& it : series.points)
        row += (&it == &series.points.front() ? "" : ", ") + number(it.size) + ": " + number(it.value);
    char fit[16];
    std::snprintf(fit, sizeof fit, "%.3f", line.fit);
    return row + " | " + number(line.fixed) + " | " + number(line.slope) + " per " + series.per + " | " + fit + " |\n";
}

std::string valueHeading()
{
    return "| Quantity | Value |\n| --- | --- |\n";
}

std::string valueRow(const Series& series)
{
    return "| " + series.name + ", " + series.unit + " | " + number(series.points.front().value) + " |\n";
}

} // namespace Slopes
