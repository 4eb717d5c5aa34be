/* load_plot.c - plots results as an SVG document.

   The first panel shows the 95th percentile of program latency against load,
   one line for each label.  The second shows the engines' cache use over model
   time, one line for the first run of each label at its highest load.
   Needs: load_compare.h.  */

#include "load_compare.h"
#include <stdlib.h>
#include <string.h>

enum
{
  WIDTH = 860,
  PANEL_WIDTH = 560,
  PANEL_HEIGHT = 260,
  LEFT = 70,
  TOP = 40,
  GAP = 90,
  TICKS = 5,
  LABELS_MAX = 32,
  POINTS_MAX = 64,
  COLOURS = 8
};

#define US_PER_SECOND 1e6

static const char *const colours[COLOURS]
    = { "#0b6e4f", "#c1292e", "#235789", "#e08e0b",
        "#6a4c93", "#5c5c5c", "#00a6a6", "#8a5a44" };

struct panel
{
  double top;
  double max_x;
  double max_y;
};

struct labels
{
  const char *names[LABELS_MAX];
  size_t count;
};

static void
append (char **svg, char *longer)
{
  if (longer == NULL)
    abort ();
  *svg = longer;
}

static double
place_x (const struct panel *panel, double x)
{
  return LEFT + (panel->max_x > 0 ? x / panel->max_x : 0) * PANEL_WIDTH;
}

static double
place_y (const struct panel *panel, double y)
{
  double height = (panel->max_y > 0 ? y / panel->max_y : 0) * PANEL_HEIGHT;

  return panel->top + PANEL_HEIGHT - height;
}

static void
add_tick (char **svg, const struct panel *panel, int tick)
{
  double x = panel->max_x * tick / TICKS;
  double y = panel->max_y * tick / TICKS;

  append (
      svg,
      talloc_asprintf_append_buffer (
          *svg,
          "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">%.3g</text>\n"
          "<text x=\"%d\" y=\"%.0f\" text-anchor=\"end\">%.3g</text>\n"
          "<line x1=\"%d\" y1=\"%.0f\" x2=\"%d\" y2=\"%.0f\" "
          "stroke=\"#ddd\"/>\n",
          place_x (panel, x), panel->top + PANEL_HEIGHT + 18, x, LEFT - 8,
          place_y (panel, y) + 4, y, LEFT, place_y (panel, y),
          LEFT + PANEL_WIDTH, place_y (panel, y)));
}

static void
add_frame (char **svg, const struct panel *panel, const char *title,
           const char *x_title)
{
  append (svg, talloc_asprintf_append_buffer (
                   *svg,
                   "<text x=\"%d\" y=\"%.0f\" font-weight=\"bold\">%s</text>\n"
                   "<text x=\"%d\" y=\"%.0f\" text-anchor=\"middle\">%s"
                   "</text>\n",
                   LEFT, panel->top - 12, title, LEFT + PANEL_WIDTH / 2,
                   panel->top + PANEL_HEIGHT + 38, x_title));
  for (int tick = 0; tick <= TICKS; tick++)
    add_tick (svg, panel, tick);
}

static void
add_legend (char **svg, const struct panel *panel, const struct labels *labels)
{
  for (size_t i = 0; i < labels->count; i++)
    {
      double y = panel->top + 16 + 20.0 * (double)i;

      append (svg, talloc_asprintf_append_buffer (
                       *svg,
                       "<line x1=\"%d\" y1=\"%.0f\" x2=\"%d\" y2=\"%.0f\" "
                       "stroke=\"%s\" stroke-width=\"3\"/>\n"
                       "<text x=\"%d\" y=\"%.0f\">%s</text>\n",
                       LEFT + PANEL_WIDTH + 20, y, LEFT + PANEL_WIDTH + 44, y,
                       colours[i % COLOURS], LEFT + PANEL_WIDTH + 52, y + 4,
                       labels->names[i]));
    }
}

static void
begin_line (char **svg, size_t label)
{
  append (svg, talloc_asprintf_append_buffer (
                   *svg,
                   "<polyline fill=\"none\" stroke=\"%s\" "
                   "stroke-width=\"2\" points=\"",
                   colours[label % COLOURS]));
}

static void
add_point (char **svg, const struct panel *panel, double x, double y)
{
  append (svg, talloc_asprintf_append_buffer (*svg, "%.1f,%.1f ",
                                              place_x (panel, x),
                                              place_y (panel, y)));
}

static void
end_line (char **svg)
{
  append (svg, talloc_strdup_append_buffer (*svg, "\"/>\n"));
}

static void
find_labels (struct labels *labels,
             const struct mq_load_result *const *results, size_t count)
{
  labels->count = 0;
  for (size_t i = 0; i < count; i++)
    {
      size_t at = 0;

      while (at < labels->count
             && strcmp (labels->names[at], results[i]->label) != 0)
        at++;
      if (at == labels->count && at < LABELS_MAX)
        labels->names[labels->count++] = results[i]->label;
    }
}

/* Latency against load.  */

struct point
{
  double load;
  struct mq_histogram sum;
};

static int
compare_points (const void *left, const void *right)
{
  const struct point *a = left;
  const struct point *b = right;

  return a->load < b->load ? -1 : a->load > b->load;
}

/* Merges the runs of LABEL with equal load; orders the points by load.  */
static size_t
collect_points (struct point *points, const char *label,
                const struct mq_load_result *const *results, size_t count)
{
  size_t point_count = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t at = 0;

      if (strcmp (results[i]->label, label) != 0)
        continue;
      while (at < point_count && points[at].load != results[i]->load)
        at++;
      if (at == POINTS_MAX)
        continue;
      if (at == point_count)
        {
          memset (&points[point_count], 0, sizeof points[point_count]);
          points[point_count++].load = results[i]->load;
        }
      mq_histogram_merge (&points[at].sum, &results[i]->all);
    }
  qsort (points, point_count, sizeof *points, compare_points);
  return point_count;
}

static double
read_p95_s (const struct mq_histogram *histogram)
{
  return (double)mq_histogram_quantile (histogram, 950) / US_PER_SECOND;
}

static void
add_latency (char **svg, struct panel *panel, const struct labels *labels,
             const struct mq_load_result *const *results, size_t count)
{
  struct point *points = talloc_array (*svg, struct point, POINTS_MAX);

  if (points == NULL)
    abort ();
  for (size_t l = 0; l < labels->count; l++)
    {
      size_t point_count
          = collect_points (points, labels->names[l], results, count);

      for (size_t i = 0; i < point_count; i++)
        {
          double p95 = read_p95_s (&points[i].sum);

          panel->max_x
              = points[i].load > panel->max_x ? points[i].load : panel->max_x;
          panel->max_y = p95 > panel->max_y ? p95 : panel->max_y;
        }
    }
  add_frame (svg, panel, "95th percentile of program latency, s",
             "load, share of the computed capacity");
  for (size_t l = 0; l < labels->count; l++)
    {
      size_t point_count
          = collect_points (points, labels->names[l], results, count);

      begin_line (svg, l);
      for (size_t i = 0; i < point_count; i++)
        add_point (svg, panel, points[i].load, read_p95_s (&points[i].sum));
      end_line (svg);
    }
  talloc_free (points);
}

/* Cache over time.  */

static const struct mq_load_result *
find_busiest (const char *label, const struct mq_load_result *const *results,
              size_t count)
{
  const struct mq_load_result *best = NULL;

  for (size_t i = 0; i < count; i++)
    if (strcmp (results[i]->label, label) == 0 && results[i]->sample_count > 0
        && (best == NULL || results[i]->load > best->load))
      best = results[i];
  return best;
}

static double
read_used (const struct mq_load_sample *sample)
{
  return sample->total_tokens == 0
             ? 0
             : (double)sample->used_tokens / (double)sample->total_tokens;
}

static void
add_cache (char **svg, struct panel *panel, const struct labels *labels,
           const struct mq_load_result *const *results, size_t count)
{
  panel->max_y = 1;
  for (size_t l = 0; l < labels->count; l++)
    {
      const struct mq_load_result *result
          = find_busiest (labels->names[l], results, count);

      if (result != NULL
          && result->samples[result->sample_count - 1].at_s > panel->max_x)
        panel->max_x = result->samples[result->sample_count - 1].at_s;
    }
  add_frame (svg, panel, "engine cache in use, share of all", "model time, s");
  for (size_t l = 0; l < labels->count; l++)
    {
      const struct mq_load_result *result
          = find_busiest (labels->names[l], results, count);

      if (result == NULL)
        continue;
      begin_line (svg, l);
      for (size_t i = 0; i < result->sample_count; i++)
        add_point (svg, panel, result->samples[i].at_s,
                   read_used (&result->samples[i]));
      end_line (svg);
    }
}

char *
mq_load_plot (TALLOC_CTX *ctx, const struct mq_load_result *const *results,
              size_t count)
{
  struct panel latency = { .top = TOP };
  struct panel cache = { .top = TOP + PANEL_HEIGHT + GAP };
  struct labels labels;
  char *svg = talloc_asprintf (
      ctx,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      WIDTH, 2 * (PANEL_HEIGHT + GAP) + TOP);

  if (svg == NULL)
    abort ();
  find_labels (&labels, results, count);
  add_latency (&svg, &latency, &labels, results, count);
  add_legend (&svg, &latency, &labels);
  add_cache (&svg, &cache, &labels, results, count);
  append (&svg, talloc_strdup_append_buffer (svg, "</svg>\n"));
  return svg;
}
