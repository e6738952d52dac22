#include "plot.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace {

constexpr double Width = 560;
constexpr double Height = 280;
constexpr double MarginX = 60;
constexpr double Top = 44;
constexpr double Bottom = 230;
constexpr const char *LeftColour = "#1f5fa8";
constexpr const char *RightColour = "#b3541e";

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.4g", Value);
  return Text;
}

std::string text(double X, double Y, const std::string &Words,
                 const char *Anchor, const char *Colour = "#222") {
  std::ostringstream Out;
  Out << "<text x=\"" << number(X) << "\" y=\"" << number(Y)
      << "\" text-anchor=\"" << Anchor << "\" fill=\"" << Colour << "\">"
      << Words << "</text>\n";
  return Out.str();
}

std::string line(double X1, double Y1, double X2, double Y2,
                 const std::string &Style) {
  std::ostringstream Out;
  Out << "<line x1=\"" << number(X1) << "\" y1=\"" << number(Y1) << "\" x2=\""
      << number(X2) << "\" y2=\"" << number(Y2) << "\" " << Style << "/>\n";
  return Out.str();
}

double placeOf(std::size_t Index, std::size_t Count) {
  const double Step =
      (Width - 2 * MarginX) / double(std::max<std::size_t>(Count - 1, 1));
  return MarginX + Step * double(Index);
}

std::string curve(const sweep_plot &Plot, double sweep_point::*Measure,
                  double Most, const char *Colour) {
  std::ostringstream Out;
  Out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << Colour
      << "\" points=\"";
  for (std::size_t Index = 0; Index < Plot.Points.size(); ++Index) {
    const double Share = Plot.Points[Index].*Measure / Most;
    Out << number(placeOf(Index, Plot.Points.size())) << ","
        << number(Bottom - Share * (Bottom - Top)) << " ";
  }
  Out << "\"/>\n";
  return Out.str();
}

double mostOf(const sweep_plot &Plot, double sweep_point::*Measure) {
  double Most = 0;
  for (const sweep_point &Point : Plot.Points)
    Most = std::max(Most, Point.*Measure);
  return Most > 0 ? Most : 1;
}

} // namespace

std::string toCsv(const sweep_plot &Plot) {
  std::ostringstream Out;
  Out << Plot.Axis << "," << Plot.LeftName << "," << Plot.RightName << "\n";
  for (const sweep_point &Point : Plot.Points)
    Out << number(Point.Value) << "," << number(Point.Left) << ","
        << number(Point.Right) << "\n";
  return Out.str();
}

std::string toSvg(const sweep_plot &Plot) {
  const double MostLeft = mostOf(Plot, &sweep_point::Left);
  const double MostRight = mostOf(Plot, &sweep_point::Right);
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 "
      << number(Width) << " " << number(Height)
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
  Out << text(MarginX - 50, 16, Plot.LeftName, "start", LeftColour)
      << text(Width - MarginX + 50, 16, Plot.RightName, "end", RightColour)
      << text(MarginX - 6, Top + 4, number(MostLeft), "end", LeftColour)
      << text(Width - MarginX + 6, Top + 4, number(MostRight), "start",
              RightColour)
      << text(MarginX - 6, Bottom, "0", "end", LeftColour)
      << text(Width - MarginX + 6, Bottom, "0", "start", RightColour)
      << text(Width / 2, Height - 8, Plot.Axis, "middle");
  const std::string Axis = "stroke=\"#888\"";
  Out << line(MarginX, Bottom, Width - MarginX, Bottom, Axis);
  for (std::size_t Index = 0; Index < Plot.Points.size(); ++Index) {
    const double X = placeOf(Index, Plot.Points.size());
    const double Value = Plot.Points[Index].Value;
    Out << text(X, Bottom + 16, number(Value), "middle");
    if (Value == Plot.CurrentValue)
      Out << line(X, Top, X, Bottom,
                  "stroke=\"#444\" stroke-dasharray=\"4 3\"");
  }
  Out << curve(Plot, &sweep_point::Left, MostLeft, LeftColour)
      << curve(Plot, &sweep_point::Right, MostRight, RightColour) << "</svg>\n";
  return Out.str();
}
