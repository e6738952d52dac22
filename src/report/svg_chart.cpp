#include "report/svg_chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace marjoramrail::internal {

namespace {

constexpr double Width = 900;
constexpr double Height = 240;
constexpr double Left = 60;
constexpr double Bottom = 24;
constexpr double Top = 24;
constexpr double BarHeight = 18;
constexpr double BarNameWidth = 140;
constexpr int GridLines = 4;

/// Maps the values of a chart to coordinates.
struct scale {
  double Seconds = 1;
  double Highest = 1;

  double x(double Second) const {
    return Left + (Width - Left) * Second / Seconds;
  }
  double y(double Value) const {
    return Height - Bottom -
           (Height - Bottom - Top) * std::min(Value, Highest) / Highest;
  }
};

} // namespace

std::string escaped(std::string_view Text) {
  std::string Escaped;
  for (const char Character : Text) {
    switch (Character) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

std::string shortNumber(double Value) {
  std::array<char, 32> Text{};
  const double Size = std::abs(Value);
  const char *Format = Size >= 100 ? "%.0f" : Size >= 10 ? "%.1f" : "%.2f";
  std::snprintf(Text.data(), Text.size(), Format, Value);
  return Text.data();
}

/// Rounds up to the next number of the form 1, 2 or 5 times a power of ten.
static double roundUp(double Value) {
  if (Value <= 0)
    return 1;
  const double Power = std::pow(10, std::floor(std::log10(Value)));
  for (const double Step : {1.0, 2.0, 5.0})
    if (Value <= Step * Power)
      return Step * Power;
  return 10 * Power;
}

static std::string label(double X, double Y, const std::string &Anchor,
                         const std::string &Text) {
  return "<text x=\"" + shortNumber(X) + "\" y=\"" + shortNumber(Y) +
         "\" text-anchor=\"" + Anchor + "\">" + escaped(Text) + "</text>\n";
}

static std::string rule(double X1, double Y1, double X2, double Y2,
                        const char *Class) {
  return std::string("<line class=\"") + Class + "\" x1=\"" + shortNumber(X1) +
         "\" y1=\"" + shortNumber(Y1) + "\" x2=\"" + shortNumber(X2) +
         "\" y2=\"" + shortNumber(Y2) + "\"/>\n";
}

static std::string grid(const scale &Scale, const std::string &Unit) {
  std::string Svg;
  for (int I = 0; I <= GridLines; ++I) {
    const double Value = Scale.Highest * I / GridLines;
    Svg += rule(Left, Scale.y(Value), Width, Scale.y(Value), "grid");
    Svg += label(Left - 6, Scale.y(Value) + 4, "end",
                 shortNumber(Value) + (I == GridLines ? " " + Unit : ""));
  }
  const double Step = roundUp(Scale.Seconds / 10);
  for (double Second = 0; Second < Scale.Seconds; Second += Step)
    Svg += label(Scale.x(Second), Height - 6, "middle",
                 shortNumber(Second) + " s");
  return Svg;
}

/// Draws only the number of each mark; the list below the chart has the texts,
/// because those of adjacent marks would overlap.
static std::string drawMarks(const scale &Scale,
                             const std::vector<report_mark> &Marks) {
  std::string Svg;
  for (std::size_t I = 0; I < Marks.size(); ++I) {
    const double X = Scale.x(std::clamp(Marks[I].Second, 0.0, Scale.Seconds));
    Svg += rule(X, Top, X, Height - Bottom, "mark");
    Svg += "<g><title>" + escaped(Marks[I].What) + "</title>" +
           label(X, Top - 8, "middle", std::to_string(I + 1)) + "</g>\n";
  }
  return Svg;
}

static std::string drawLine(const scale &Scale, const chart_line &Line) {
  std::string Points;
  for (std::size_t I = 0; I < Line.Values.size(); ++I)
    Points += shortNumber(Scale.x(static_cast<double>(I) + 0.5)) + "," +
              shortNumber(Scale.y(Line.Values[I])) + " ";
  return "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
         Line.Colour + "\" points=\"" + Points + "\"/>\n";
}

static std::string legend(const std::vector<chart_line> &Lines) {
  std::string Html = "<p class=\"legend\">";
  for (const chart_line &Line : Lines)
    Html += "<span style=\"color:" + Line.Colour + "\">&#9632;</span> " +
            escaped(Line.Name) + " ";
  return Html + "</p>\n";
}

static std::string canvas(double CanvasHeight, const std::string &Drawing) {
  return "<svg viewBox=\"0 0 " + shortNumber(Width) + " " +
         shortNumber(CanvasHeight) + "\">\n" + Drawing + "</svg>\n";
}

std::string lineChart(const std::vector<chart_line> &Lines,
                      const std::vector<report_mark> &Marks,
                      const std::string &Unit) {
  scale Scale;
  double Highest = 0;
  for (const chart_line &Line : Lines) {
    Scale.Seconds =
        std::max(Scale.Seconds, static_cast<double>(Line.Values.size()));
    for (const double Value : Line.Values)
      Highest = std::max(Highest, Value);
  }
  Scale.Highest = roundUp(Highest);
  std::string Drawing = grid(Scale, Unit) + drawMarks(Scale, Marks);
  for (const chart_line &Line : Lines)
    Drawing += drawLine(Scale, Line);
  return canvas(Height, Drawing) + legend(Lines);
}

std::string barChart(const std::vector<chart_bar> &Bars) {
  double Highest = 0;
  double Sum = 0;
  std::size_t Count = 0;
  for (const chart_bar &Bar : Bars) {
    Highest = std::max(Highest, Bar.Value);
    Sum += Bar.Pale ? 0 : Bar.Value;
    Count += Bar.Pale ? 0 : 1;
  }
  const double Room = Width - BarNameWidth - 80;
  const double Unit = Highest > 0 ? Room / Highest : 0;
  std::string Drawing;
  double Y = 4;
  for (const chart_bar &Bar : Bars) {
    Drawing += label(BarNameWidth - 8, Y + 13, "end", Bar.Name);
    Drawing += std::string("<rect class=\"") + (Bar.Pale ? "pale" : "bar") +
               "\" x=\"" + shortNumber(BarNameWidth) + "\" y=\"" +
               shortNumber(Y) + "\" width=\"" + shortNumber(Bar.Value * Unit) +
               "\" height=\"" + shortNumber(BarHeight - 4) + "\"/>\n";
    Drawing += label(BarNameWidth + Bar.Value * Unit + 6, Y + 13, "start",
                     shortNumber(Bar.Value));
    Y += BarHeight;
  }
  if (Count > 0) {
    const double X = BarNameWidth + Sum / static_cast<double>(Count) * Unit;
    Drawing += rule(X, 0, X, Y, "mark");
  }
  return canvas(Y + 4, Drawing);
}

} // namespace marjoramrail::internal
