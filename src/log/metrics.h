/* metrics.h - counters and histograms as Prometheus text.

   Needs: histogram.h, talloc.  */

#ifndef MQ_METRICS_H
#define MQ_METRICS_H

#include "core/histogram.h"

/* Appends "mimosa_PREFIX_NAME VALUE" with its HELP line to *TEXT (talloc).  */
void mq_metrics_add (char **text, const char *prefix, const char *name,
                     const char *help, uint64_t value);
/**
 * struct mq_metrics_family - a histogram with one series for each label set
 * @name: whole, in seconds
 * @help: one line
 * @per_second: units of the histograms in a second
 * @first_bit: the first bound is 2^@first_bit units, the next twice that
 * @last_bit: of the last bound but infinity
 */
struct mq_metrics_family
{
  const char *name;
  const char *help;
  double per_second;
  uint32_t first_bit;
  uint32_t last_bit;
};

/* HELP and TYPE lines, before the first series.  */
void mq_metrics_begin (char **text, const struct mq_metrics_family *family);
/* A series with LABELS, as in the text and not empty.  */
void mq_metrics_series (char **text, const struct mq_metrics_family *family,
                        const char *labels,
                        const struct mq_histogram *histogram);
/* Processor time, memory and open files of this process.  */
void mq_metrics_add_process (char **text);

#endif
