/* metrics.c - counters, gauges and histograms as Prometheus text.

   Needs: talloc, /proc/self.  */

#include "metrics.h"
#include <ctype.h>
#include <dirent.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define TOTAL_SUFFIX "_total"
#define STATM_BYTES 128

/* By Prometheus naming rules a name that ends in "_total" is a counter; all
   others are gauges.  */
static const char *
type_of (const char *name)
{
  size_t len = strlen (name);
  size_t suffix = strlen (TOTAL_SUFFIX);

  if (len > suffix && strcmp (name + len - suffix, TOTAL_SUFFIX) == 0)
    return "counter";
  return "gauge";
}

/* Omits the line if out of memory.  */
static void
add_line (char **text, const char *prefix, const char *name, const char *help,
          const char *value)
{
  char *longer = talloc_asprintf_append_buffer (
      *text,
      "# HELP mimosa_%s_%s %s\n# TYPE mimosa_%s_%s %s\nmimosa_%s_%s %s\n",
      prefix, name, help, prefix, name, type_of (name), prefix, name, value);

  if (longer != NULL)
    *text = longer;
}

void
mq_metrics_add (char **text, const char *prefix, const char *name,
                const char *help, uint64_t value)
{
  char number[24];

  snprintf (number, sizeof number, "%" PRIu64, value);
  add_line (text, prefix, name, help, number);
}

static void append (char **text, const char *form, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append (char **text, const char *form, ...)
{
  va_list values;
  char *longer;

  va_start (values, form);
  longer = talloc_vasprintf_append_buffer (*text, form, values);
  va_end (values);
  if (longer != NULL)
    *text = longer;
}

void
mq_metrics_begin_values (char **text, const char *prefix, const char *name,
                         const char *help)
{
  append (text, "# HELP mimosa_%s_%s %s\n# TYPE mimosa_%s_%s gauge\n", prefix,
          name, help, prefix, name);
}

void
mq_metrics_copy_label (char to[MQ_METRICS_LABEL_MAX], const char *name)
{
  size_t len = 0;

  for (; len < MQ_METRICS_LABEL_MAX - 1 && name[len] != '\0'; len++)
    {
      unsigned char c = (unsigned char)name[len];

      to[len] = name[len];
      if (c == '"' || c == '\\' || iscntrl (c))
        to[len] = '_';
    }
  to[len] = '\0';
}

void
mq_metrics_labelled (char **text, const char *prefix, const char *name,
                     const char *labels, uint64_t value)
{
  append (text, "mimosa_%s_%s{%s} %" PRIu64 "\n", prefix, name, labels, value);
}

void
mq_metrics_begin (char **text, const struct mq_metrics_family *family)
{
  append (text, "# HELP %s %s\n# TYPE %s histogram\n", family->name,
          family->help, family->name);
}

void
mq_metrics_series (char **text, const struct mq_metrics_family *family,
                   const char *labels, const struct mq_histogram *histogram)
{
  for (uint32_t bit = family->first_bit; bit <= family->last_bit; bit++)
    append (text, "%s_bucket{%s,le=\"%g\"} %" PRIu64 "\n", family->name,
            labels, (double)(1ULL << bit) / family->per_second,
            mq_histogram_count_to (histogram, (1ULL << bit) - 1));
  append (text,
          "%s_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n%s_sum{%s} %.6f\n"
          "%s_count{%s} %" PRIu64 "\n",
          family->name, labels, histogram->count, family->name, labels,
          (double)histogram->sum / family->per_second, family->name, labels,
          histogram->count);
}

static void
add_cpu (char **text)
{
  struct rusage usage;
  char seconds[32];
  long sec;
  long usec;

  if (getrusage (RUSAGE_SELF, &usage) != 0)
    return;
  usec = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  sec = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec + usec / 1000000;
  snprintf (seconds, sizeof seconds, "%ld.%06ld", sec, usec % 1000000);
  add_line (text, "process", "cpu_seconds_total",
            "Processor time used, user and system.", seconds);
}

static void
add_memory (char **text)
{
  FILE *file = fopen ("/proc/self/statm", "re");
  char line[STATM_BYTES];
  uint64_t pages;

  if (file == NULL)
    return;
  if (fgets (line, sizeof line, file) != NULL
      && sscanf (line, "%*u %" SCNu64, &pages) == 1)
    mq_metrics_add (text, "process", "resident_bytes", "Resident memory.",
                    pages * (uint64_t)sysconf (_SC_PAGESIZE));
  fclose (file);
}

/* Excludes the descriptor that is open for reading the directory.  */
static void
add_open_files (char **text)
{
  DIR *directory = opendir ("/proc/self/fd");
  uint64_t files = 0;
  const struct dirent *entry;

  if (directory == NULL)
    return;
  while ((entry = readdir (directory)) != NULL)
    if (entry->d_name[0] != '.')
      files++;
  closedir (directory);
  mq_metrics_add (text, "process", "open_files", "Open file descriptors.",
                  files - 1);
}

void
mq_metrics_add_process (char **text)
{
  add_cpu (text);
  add_memory (text);
  add_open_files (text);
}
