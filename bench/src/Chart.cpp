#include "bench/Chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace rosemarylane::bench {

namespace {

constexpr double Width = 760;
constexpr double Height = 360;
constexpr double Left = 70;
constexpr double Right = 20;
constexpr double Top = 50;
constexpr double Bottom = 50;
constexpr int TickCount = 5;
constexpr double LegendStep = 110;
constexpr std::array<const char *, 6> Colours{"#1b6ca8", "#c0392b", "#27864b",
                                              "#8e5ea2", "#d08a1d", "#555555"};

std::string escape(const std::string &Text) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '&')
      Escaped += "&amp;";
    else if (C == '<')
      Escaped += "&lt;";
    else
      Escaped += C;
  }
  return Escaped;
}

/// Rounds up to 1, 2 or 5 times a power of ten, so that ticks are readable.
double roundUp(double Value) {
  if (Value <= 0)
    return 1;
  double Power = std::pow(10, std::floor(std::log10(Value)));
  for (double Factor : {1.0, 2.0, 5.0})
    if (Value <= Factor * Power)
      return Factor * Power;
  return 10 * Power;
}

/// Maps values to positions in the drawing.
struct Scale {
  double MaxX;
  double MaxY;

  double x(double Value) const {
    return Left + Value / MaxX * (Width - Left - Right);
  }
  double y(double Value) const {
    return Height - Bottom - Value / MaxY * (Height - Top - Bottom);
  }
};

Scale scaleFor(const Chart &Drawn) {
  double MaxX = 0;
  double MaxY = 0;
  for (const Series &Curve : Drawn.Curves)
    for (const Point &P : Curve.Points) {
      MaxX = std::max(MaxX, P.X);
      MaxY = std::max(MaxY, P.Y);
    }
  return {MaxX > 0 ? MaxX : 1, roundUp(MaxY)};
}

void writeText(std::ostream &Out, double X, double Y, const char *Anchor,
               const std::string &Text) {
  Out << "<text x=\"" << X << "\" y=\"" << Y << "\" text-anchor=\"" << Anchor
      << "\">" << escape(Text) << "</text>\n";
}

std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out.precision(3);
  Out << Value;
  return Out.str();
}

void writeAxes(std::ostream &Out, const Chart &Drawn, const Scale &Map) {
  for (int I = 0; I <= TickCount; ++I) {
    double X = Map.MaxX * I / TickCount;
    double Y = Map.MaxY * I / TickCount;
    Out << "<line x1=\"" << Left << "\" x2=\"" << Width - Right << "\" y1=\""
        << Map.y(Y) << "\" y2=\"" << Map.y(Y) << "\" stroke=\"#dddddd\"/>\n";
    writeText(Out, Map.x(X), Height - Bottom + 18, "middle", formatNumber(X));
    writeText(Out, Left - 8, Map.y(Y) + 4, "end", formatNumber(Y));
  }
  writeText(Out, (Left + Width - Right) / 2, Height - 10, "middle",
            Drawn.XLabel);
  writeText(Out, Left, Top - 8, "end", Drawn.YLabel);
}

void writeSpans(std::ostream &Out, const Chart &Drawn, const Scale &Map) {
  for (const Span &S : Drawn.Spans) {
    Out << "<rect x=\"" << Map.x(S.From) << "\" y=\"" << Top << "\" width=\""
        << Map.x(S.To) - Map.x(S.From) << "\" height=\""
        << Height - Top - Bottom << "\" fill=\"#f3e3d3\"/>\n";
    writeText(Out, (Map.x(S.From) + Map.x(S.To)) / 2, Top + 14, "middle",
              S.Name);
  }
}

void writeCurves(std::ostream &Out, const Chart &Drawn, const Scale &Map) {
  for (std::size_t I = 0; I < Drawn.Curves.size(); ++I) {
    const char *Colour = Colours[I % Colours.size()];
    Out << "<polyline fill=\"none\" stroke=\"" << Colour
        << "\" stroke-width=\"2\" points=\"";
    for (const Point &P : Drawn.Curves[I].Points)
      Out << Map.x(P.X) << "," << Map.y(P.Y) << " ";
    Out << "\"/>\n";
    double X = Width - Right - LegendStep * double(Drawn.Curves.size() - I);
    Out << "<rect x=\"" << X << "\" y=\"" << Top - 18
        << "\" width=\"12\" height=\"4\" fill=\"" << Colour << "\"/>\n";
    writeText(Out, X + 18, Top - 12, "start", Drawn.Curves[I].Name);
  }
}

} // namespace

std::string formatSvg(const Chart &Drawn) {
  Scale Map = scaleFor(Drawn);
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width
      << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  writeText(Out, Width / 2, 18, "middle", Drawn.Title);
  writeSpans(Out, Drawn, Map);
  writeAxes(Out, Drawn, Map);
  writeCurves(Out, Drawn, Map);
  Out << "</svg>\n";
  return Out.str();
}

} // namespace rosemarylane::bench
