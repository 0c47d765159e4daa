#include "kingcupshed/metrics/text_page.h"

#include <sstream>

namespace kingcupshed::metrics {

namespace {

std::string Escape(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

}  // namespace

void TextPage::AddCounter(std::string_view name,
                          const std::vector<Label>& labels,
                          double value) {
  Add("counter", name, labels, value);
}

void TextPage::AddGauge(std::string_view name,
                        const std::vector<Label>& labels,
                        double value) {
  Add("gauge", name, labels, value);
}

void TextPage::Add(std::string_view type,
                   std::string_view name,
                   const std::vector<Label>& labels,
                   double value) {
  std::ostringstream line;
  line.precision(15);
  if (name != last_name_) {
    line << "# TYPE " << name << " " << type << "\n";
    last_name_ = name;
  }
  line << name;
  char separator = '{';
  for (const Label& label : labels) {
    line << separator << label.name << "=\"" << Escape(label.value) << "\"";
    separator = ',';
  }
  line << (labels.empty() ? " " : "} ") << value << "\n";
  text_ += line.str();
}

}  // namespace kingcupshed::metrics
