/* bench_replay.c - simulates the router's decisions under overload.

   Prints the outcomes of programs at several multiples of the base load for
   each policy, and plots programs that met their deadline over time.  Runs in
   virtual time; the same seed gives the same results.
   Needs: replay.h, argp.  */

#include "../tests/replay.h"
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const char doc[] = "Replay bursts of programs against the model of the "
                          "engines.";

static const struct argp_option argp_options[] = {
  { "hosts", 'h', "N", 0, "entry hosts (84)", 0 },
  { "engines", 'e', "N", 0, "engines (62)", 0 },
  { "rate", 'r', "N", 0, "programs a second at the usual load (104)", 0 },
  { "seed", 's', "N", 0, "seed (1)", 0 },
  { "svg", 'o', "FILE", 0, "draw programs in aim a second over time", 0 },
  { 0 },
};

struct settings
{
  struct replay_options load;
  const char *svg;
};

static uint32_t
read_count (struct argp_state *state, const char *text, uint32_t most)
{
  char *end = NULL;
  unsigned long value = strtoul (text, &end, 10);

  if (*end != '\0' || value == 0 || value > most)
    argp_error (state, "%s: a whole number from 1 to %u", text, most);
  return (uint32_t)value;
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct settings *settings = state->input;

  switch (key)
    {
    case 'h':
      settings->load.hosts = read_count (state, text, REPLAY_HOSTS_MAX);
      return 0;
    case 'e':
      settings->load.engines = read_count (state, text, REPLAY_ENGINES_MAX);
      return 0;
    case 'r':
      settings->load.base_per_s = read_count (state, text, 1000);
      return 0;
    case 's':
      settings->load.seed = read_count (state, text, UINT32_MAX);
      return 0;
    case 'o':
      settings->svg = text;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Plot.  */

enum
{
  SVG_WIDTH = 720,
  SVG_HEIGHT = 300,
  SVG_MARGIN = 40
};

static void
draw_line (FILE *file, const struct replay_result *result, uint32_t seconds,
           double most, enum replay_policy way)
{
  static const char *const colours[REPLAY_POLICIES]
      = { "#1b7f3b", "#2a62b8", "#b8860b", "#b02a2a", "#777777" };
  double x_step = (double)(SVG_WIDTH - 2 * SVG_MARGIN) / seconds;

  fprintf (file, "<polyline fill='none' stroke='%s' points='", colours[way]);
  for (uint32_t i = 0; i < seconds; i++)
    fprintf (file, "%.1f,%.1f ", SVG_MARGIN + i * x_step,
             SVG_HEIGHT - SVG_MARGIN
                 - result->seconds[i].met_deadline / most
                       * (SVG_HEIGHT - 2 * SVG_MARGIN));
  fprintf (file, "'/><text x='%d' y='%d' fill='%s'>%s</text>\n",
           SVG_WIDTH - 4 * SVG_MARGIN, SVG_MARGIN + 16 * (int)way,
           colours[way], replay_policy_name (way));
}

static void
draw (const char *path, const struct replay_options *load,
      const struct replay_result results[REPLAY_POLICIES])
{
  FILE *file = fopen (path, "w");
  double most = load->base_per_s * load->burst;

  if (file == NULL)
    {
      fprintf (stderr, "%s: can't be written\n", path);
      return;
    }
  fprintf (file,
           "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
           "font-family='sans-serif' font-size='12'>\n"
           "<text x='%d' y='20'>programs in aim, by the second in which they "
           "began; burst of %.1f from %u s for %u s; top: %.0f a second"
           "</text>\n",
           SVG_WIDTH, SVG_HEIGHT, SVG_MARGIN, load->burst, load->burst_from_s,
           load->burst_s, most);
  for (int way = 0; way < REPLAY_POLICIES; way++)
    draw_line (file, &results[way], load->length_s, most,
               (enum replay_policy)way);
  fprintf (file, "</svg>\n");
  fclose (file);
}

/* Table.  */

static void
print_row (const struct replay_options *load,
           const struct replay_result *result)
{
  uint32_t from = load->burst_from_s;
  uint32_t until = from + load->burst_s;

  printf ("| %.1f | %s | %.1f | %.1f |", load->burst,
          replay_policy_name (load->policy),
          replay_goodput (result, from, until),
          replay_goodput (result, until, until + 4));
  for (int i = 0; i < REPLAY_CLASSES; i++)
    printf (" %u %u %u %u %u |", result->classes[i].asked,
            result->classes[i].met_deadline, result->classes[i].late,
            result->classes[i].refused, result->classes[i].failed);
  printf (" %.1f | %lu |\n", (double)result->prefill_tokens / 1e6,
          (unsigned long)result->preempted);
}

int
main (int argc, char **argv)
{
  static const double bursts[] = { 1.0, 2.0, 2.5, 3.0, 4.5 };
  static const struct argp argp
      = { argp_options, parse_option, NULL, doc, NULL, NULL, NULL };
  struct settings settings
      = { .load = replay_default_options (REPLAY_ALL_DECISIONS, 1.0, 1) };
  static struct replay_result results[REPLAY_POLICIES];

  settings.load.hosts = 84;
  settings.load.engines = 62;
  settings.load.base_per_s = 104.0;
  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  printf (
      "| load | way | in aim a second in the burst | in the 4 s after | "
      "long: asked, in aim, late, refused, failed | short | million prompt "
      "tokens read | preempted |\n|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof bursts / sizeof bursts[0]; i++)
    {
      settings.load.burst = bursts[i];
      for (int way = 0; way < REPLAY_POLICIES; way++)
        {
          settings.load.policy = (enum replay_policy)way;
          replay_run (&settings.load, &results[way]);
          print_row (&settings.load, &results[way]);
          fflush (stdout);
        }
      if (settings.svg != NULL && bursts[i] == 3.0)
        draw (settings.svg, &settings.load, results);
    }
  return 0;
}
