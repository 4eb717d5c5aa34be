/* load.c - load generator for a running site: mimosa-load.

   Runs a workload (load/load_run.c), or compares and plots the results of
   earlier runs.  Does not start or stop processes of the site.
   Needs: argp, load_run.h, load_compare.h, load_probe.h.  */

#include "ctl/ctl_run.h"
#include "load/load_compare.h"
#include "load/load_probe.h"
#include "load/load_run.h"
#include "daemon/settings_file.h"
#include <argp.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

const char *argp_program_version = "mimosa-load 0.1.0 (mimosaquay)";

enum
{
  HOST_TIMEOUT_MS = 10000,
  SETTLE_MS = 1500, /* time for the last evictions to be confirmed */
  FILES_MAX = 4096,
  DIAGNE_WORKERS = 12,
  ZARQA_WORKERS = 20,
  SLOTS = 8,
  SEEDS_MAX = 1000000000
};

#define US_PER_SECOND 1e6

enum format
{
  FORMAT_TEXT,
  FORMAT_JSON,
  FORMAT_CSV
};

enum option_key
{
  KEY_ENTRY = 'e',
  KEY_PLATFORM = 'p',
  KEY_WORKLOAD = 'w',
  KEY_FORMAT = 'f',
  KEY_SECONDS = 's',
  KEY_TARGET = 256,
  KEY_ENGINE,
  KEY_SERVICE,
  KEY_RATE,
  KEY_LOAD,
  KEY_WORKERS,
  KEY_SLOTS,
  KEY_BATCH_SHARE,
  KEY_LETTERS_CONCURRENT,
  KEY_DRAIN,
  KEY_SEED,
  KEY_TIME_SCALE,
  KEY_LABEL,
  KEY_TAG,
  KEY_CHECK_EVERY,
  KEY_COMPARE,
  KEY_PLOT
};

struct command_line
{
  struct mq_load_site *site;
  struct mq_load_run_options run;
  const char *platform;
  const char *label;
  const char *compare;
  bool plot;
  enum format format;
  double load;
  double rate;
  double batch_share;
  uint32_t workers;
  const char *files[FILES_MAX];
  size_t file_count;
};

static const struct argp_option options[] = {
  { NULL, 0, NULL, 0, "The site:", 1 },
  { "platform", KEY_PLATFORM, "URL", 0,
    "The platform, http://IP:PORT, which lists the entry and target hosts",
    1 },
  { "entry", KEY_ENTRY, "IP:PORT", 0, "An entry host; may be repeated", 1 },
  { "target", KEY_TARGET, "IP:PORT", 0,
    "HTTP of a target host, for its counters", 1 },
  { "engine", KEY_ENGINE, "IP:PORT", 0,
    "A stand-in engine, for its counters and cache", 1 },
  { "service", KEY_SERVICE, "IP:PORT", 0,
    "One worker of a stand-in service, for repeated calls", 1 },
  { NULL, 0, NULL, 0, "The load:", 2 },
  { "workload", KEY_WORKLOAD, "diagne|zarqa", 0, "Workload (default zarqa)",
    2 },
  { "load", KEY_LOAD, "SHARE", 0,
    "Share of the computed capacity (default 0.85)", 2 },
  { "rate", KEY_RATE, "PER_SECOND", 0,
    "Instead of --load: sessions opened per second of model time", 2 },
  { "workers", KEY_WORKERS, "N", 0,
    "Model workers of the site (default 12 or 20)", 2 },
  { "slots", KEY_SLOTS, "N", 0, "Concurrent calls of each worker (default 8)",
    2 },
  { "batch-share", KEY_BATCH_SHARE, "SHARE", 0,
    "Share of zarqa's nightly batch in the load (default 0.4)", 2 },
  { "at-a-time", KEY_LETTERS_CONCURRENT, "N", 0,
    "Concurrent letters of the batch (default workers x slots)", 2 },
  { "seconds", KEY_SECONDS, "S", 0,
    "Wall time during which sessions are opened (default 20)", 2 },
  { "drain", KEY_DRAIN, "S", 0,
    "Wall time to wait for outstanding requests (default 60)", 2 },
  { "seed", KEY_SEED, "N", 0, "Seed of the random workload (default 1)", 2 },
  { "time-scale", KEY_TIME_SCALE, "X", 0,
    "Wall time per unit of model time, as set at the engines", 2 },
  { "tag", KEY_TAG, "TEXT", 0,
    "Prefix of idempotency keys (default: from the clock)", 2 },
  { "check-every", KEY_CHECK_EVERY, "N", 0,
    "Read and check the history of one in N programs (default 10, 0: none)",
    2 },
  { NULL, 0, NULL, 0, "The results:", 3 },
  { "label", KEY_LABEL, "TEXT", 0, "Label of the run, for --compare", 3 },
  { "format", KEY_FORMAT, "text|json|csv", 0, "Format of the result", 3 },
  { "compare", KEY_COMPARE, "LABEL", 0,
    "Compare LABEL with the other labels in FILES (JSON results)", 3 },
  { "plot", KEY_PLOT, NULL, 0, "Plot FILES as SVG", 3 },
  { 0 }
};

static double
parse_real (struct argp_state *state, const char *name, const char *text,
            double most)
{
  char *end;
  double value = strtod (text, &end);

  if (*text == '\0' || *end != '\0' || !(value >= 0) || value > most)
    argp_error (state, "%s: %s is not a number up to %g", name, text, most);
  return value;
}

static uint64_t
parse_count (struct argp_state *state, const char *name, const char *text,
             uint64_t least)
{
  double value = parse_real (state, name, text, SEEDS_MAX);

  if (value < (double)least || floor (value) != value)
    argp_error (state, "%s: %s is not a whole number from %llu", name, text,
                (unsigned long long)least);
  return (uint64_t)value;
}

static enum format
parse_format (struct argp_state *state, const char *text)
{
  if (strcmp (text, "text") == 0)
    return FORMAT_TEXT;
  if (strcmp (text, "json") == 0)
    return FORMAT_JSON;
  if (strcmp (text, "csv") != 0)
    argp_error (state, "--format: text, json or csv, not %s", text);
  return FORMAT_CSV;
}

static bool
parse_site (struct command_line *line, int key, char *text)
{
  struct mq_load_site *site = line->site;

  switch (key)
    {
    case KEY_PLATFORM:
      line->platform = text;
      return true;
    case KEY_ENTRY:
      mq_load_site_add (site, &site->entries, &site->entry_count, text);
      return true;
    case KEY_TARGET:
      mq_load_site_add (site, &site->targets, &site->target_count, text);
      return true;
    case KEY_ENGINE:
      mq_load_site_add (site, &site->engines, &site->engine_count, text);
      return true;
    case KEY_SERVICE:
      mq_load_site_add (site, &site->services, &site->service_count, text);
      return true;
    default:
      return false;
    }
}

static bool
parse_load (struct command_line *line, struct argp_state *state, int key,
            char *text)
{
  switch (key)
    {
    case KEY_WORKLOAD:
      if (!mq_load_workload_find (text, &line->run.plan.workload))
        argp_error (state, "--workload: diagne or zarqa, not %s", text);
      return true;
    case KEY_LOAD:
      line->load = parse_real (state, "--load", text, 100);
      return true;
    case KEY_RATE:
      line->rate = parse_real (state, "--rate", text, 1e6);
      return true;
    case KEY_WORKERS:
      line->workers = (uint32_t)parse_count (state, "--workers", text, 1);
      return true;
    case KEY_SLOTS:
      line->run.plan.slots = (uint32_t)parse_count (state, "--slots", text, 1);
      return true;
    case KEY_BATCH_SHARE:
      line->batch_share = parse_real (state, "--batch-share", text, 1);
      return true;
    case KEY_LETTERS_CONCURRENT:
      line->run.letters_concurrent
          = (uint32_t)parse_count (state, "--at-a-time", text, 1);
      return true;
    default:
      return false;
    }
}

static bool
parse_run (struct command_line *line, struct argp_state *state, int key,
           char *text)
{
  switch (key)
    {
    case KEY_SECONDS:
      line->run.seconds = parse_real (state, "--seconds", text, 1e6);
      return true;
    case KEY_DRAIN:
      line->run.drain_seconds = parse_real (state, "--drain", text, 1e6);
      return true;
    case KEY_SEED:
      line->run.plan.seed = parse_count (state, "--seed", text, 0);
      return true;
    case KEY_TIME_SCALE:
      line->run.time_scale = parse_real (state, "--time-scale", text, 1000);
      if (line->run.time_scale <= 0)
        argp_error (state, "--time-scale: a number above 0 is needed");
      return true;
    case KEY_TAG:
      line->run.tag = text;
      return true;
    case KEY_CHECK_EVERY:
      line->run.check_every
          = (uint32_t)parse_count (state, "--check-every", text, 0);
      return true;
    default:
      return false;
    }
}

static bool
parse_result (struct command_line *line, struct argp_state *state, int key,
              char *text)
{
  switch (key)
    {
    case KEY_LABEL:
      line->label = text;
      return true;
    case KEY_FORMAT:
      line->format = parse_format (state, text);
      return true;
    case KEY_COMPARE:
      line->compare = text;
      return true;
    case KEY_PLOT:
      line->plot = true;
      return true;
    case ARGP_KEY_ARG:
      if (line->file_count == FILES_MAX)
        argp_error (state, "at most %d files", FILES_MAX);
      line->files[line->file_count++] = text;
      return true;
    default:
      return false;
    }
}

static void
check_options (const struct command_line *line, struct argp_state *state)
{
  bool files = line->compare != NULL || line->plot;

  if (files != (line->file_count > 0))
    argp_error (state, "--compare and --plot take files, a run takes none");
  if (!files && line->platform == NULL && line->site->entry_count == 0)
    argp_error (state, "--platform or --entry is needed");
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct command_line *line = state->input;

  if (key == ARGP_KEY_END)
    {
      check_options (line, state);
      return 0;
    }
  if (parse_site (line, key, text) || parse_load (line, state, key, text)
      || parse_run (line, state, key, text)
      || parse_result (line, state, key, text))
    return 0;
  return ARGP_ERR_UNKNOWN;
}

static void
print_error (const char *what, const struct mq_error *error)
{
  fprintf (stderr, "mimosa-load: %s: %s %s; %s %s\n", what,
           mq_error_cause (error->type), error->subject,
           mq_error_remedy (error->type), error->allowed);
}

/* Results of earlier runs.  */

static const struct mq_load_result **
read_results (TALLOC_CTX *ctx, const struct command_line *line)
{
  const struct mq_load_result **results = talloc_zero_array (
      ctx, const struct mq_load_result *, (unsigned int)line->file_count + 1);

  for (size_t i = 0; results != NULL && i < line->file_count; i++)
    {
      struct mq_error error = { 0 };
      size_t len = 0;
      char *text = mq_settings_file_text (ctx, line->files[i], &len, &error);

      if (text != NULL)
        results[i] = mq_load_result_read (ctx, text, &error);
      talloc_free (text);
      if (results[i] == NULL)
        {
          print_error (line->files[i], &error);
          return NULL;
        }
    }
  return results;
}

static int
show_files (TALLOC_CTX *ctx, const struct command_line *line)
{
  const struct mq_load_result **results = read_results (ctx, line);
  char *text;

  if (results == NULL)
    return EXIT_FAILURE;
  text = line->plot
             ? mq_load_plot (ctx, results, line->file_count)
             : mq_load_compare (ctx, line->compare, results, line->file_count);
  fputs (text, stdout);
  return EXIT_SUCCESS;
}

/* A run.  */

/* Computes the session rate and the number of letters for the requested
   load.  */
static void
compute_rates (struct command_line *line)
{
  struct mq_load_run_options *run = &line->run;
  bool diagne = run->plan.workload == MQ_LOAD_DIAGNE;
  double share = diagne ? 0 : line->batch_share;
  double model_s = run->seconds / run->time_scale;
  double capacity;
  double work;

  if (line->workers == 0)
    line->workers = diagne ? DIAGNE_WORKERS : ZARQA_WORKERS;
  if (run->letters_concurrent == 0)
    run->letters_concurrent = line->workers * run->plan.slots;
  capacity = line->workers * US_PER_SECOND;
  work = mq_load_plan_mean_work (&run->plan, false);
  if (line->rate > 0)
    line->load = line->rate * work / capacity / (1 - share);
  run->plan.per_second = (1 - share) * line->load * capacity / work;
  if (share > 0)
    run->letters = (uint64_t)(share * line->load * capacity * model_s
                              / mq_load_plan_mean_work (&run->plan, true));
}

static void
begin_result (const struct command_line *line, struct mq_load_result *result)
{
  snprintf (result->label, sizeof result->label, "%s", line->label);
  snprintf (result->workload, sizeof result->workload, "%s",
            mq_load_workload_name (line->run.plan.workload));
  result->load = line->load;
  result->per_second = line->run.plan.per_second;
  result->time_scale = line->run.time_scale;
  result->seconds = line->run.seconds / line->run.time_scale;
  result->runs = 1;
}

static void
print_result (TALLOC_CTX *ctx, enum format format,
              const struct mq_load_result *result)
{
  switch (format)
    {
    case FORMAT_TEXT:
      fputs (mq_load_result_text (ctx, result), stdout);
      break;
    case FORMAT_JSON:
      puts (mq_load_result_json (ctx, result));
      break;
    case FORMAT_CSV:
      fputs (mq_load_result_csv (ctx, result), stdout);
      break;
    }
}

static int
run_load (TALLOC_CTX *ctx, struct command_line *line)
{
  struct mq_load_result *result = talloc_zero (ctx, struct mq_load_result);
  struct mq_ctl_options ctl_options
      = { .platform = line->platform, .host_timeout_ms = HOST_TIMEOUT_MS };
  struct mq_load_measures before;
  struct mq_error error = { 0 };
  struct mq_ctl *ctl;
  size_t unreached;

  if (ctl_options.platform == NULL)
    ctl_options.platform = "http://127.0.0.1:1";
  ctl = mq_ctl_create (ctx, &ctl_options, &error);
  if (result == NULL || ctl == NULL
      || (line->platform != NULL
          && !mq_load_site_discover (ctl, line->site, &error)))
    {
      print_error ("site", &error);
      return EXIT_FAILURE;
    }
  line->run.site = line->site;
  compute_rates (line);
  begin_result (line, result);
  mq_load_probe (ctl, line->site, line->run.plan.workload, &before,
                 &unreached);
  if (!mq_load_run (ctx, &line->run, result, &error))
    {
      print_error ("run", &error);
      return EXIT_FAILURE;
    }
  mq_ctl_sleep (ctl, SETTLE_MS);
  mq_load_probe (ctl, line->site, line->run.plan.workload, &result->measures,
                 &unreached);
  mq_load_measures_subtract (&result->measures, &before);
  result->violations[MQ_LOAD_CALL_REPEATED]
      += result->measures.repeated_effects;
  print_result (ctx, line->format, result);
  if (unreached > 0)
    fprintf (stderr, "mimosa-load: %zu counters could not be read\n",
             unreached);
  return mq_load_sum_violations (result) == 0 ? EXIT_SUCCESS : 2;
}

static char *
create_tag (TALLOC_CTX *ctx)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return talloc_asprintf (ctx, "load-%llx%09lx",
                          (unsigned long long)now.tv_sec,
                          (unsigned long)now.tv_nsec);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options,
          parse_option,
          "[FILE…]",
          "Runs a workload against a site of mimosaquay and prints the "
          "results, or compares and plots earlier results.\v"
          "Exit status: 0 done; 1 failed; 2 an answer was wrong.",
          NULL,
          NULL,
          NULL };
  struct command_line line = { .label = "run", .load = 0.85 };
  TALLOC_CTX *ctx = talloc_new (NULL);
  int status;

  line.batch_share = 0.4;
  line.site = talloc_zero (ctx, struct mq_load_site);
  line.run.plan.workload = MQ_LOAD_ZARQA;
  line.run.plan.seed = 1;
  line.run.plan.slots = SLOTS;
  line.run.seconds = 20;
  line.run.drain_seconds = 60;
  line.run.time_scale = 1;
  line.run.check_every = 10;
  line.run.tag = create_tag (ctx);
  argp_parse (&argp, argc, argv, 0, NULL, &line);
  if (line.compare != NULL || line.plot)
    status = show_files (ctx, &line);
  else
    status = run_load (ctx, &line);
  talloc_free (ctx);
  return status;
}
