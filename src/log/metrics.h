/* metrics.h - counters, gauges and histograms as Prometheus text.

   Needs: histogram.h, talloc.  */

#ifndef MQ_METRICS_H
#define MQ_METRICS_H

#include "core/histogram.h"

/* Appends "mimosa_PREFIX_NAME VALUE" with its HELP and TYPE lines to *TEXT
   (talloc).  */
void mq_metrics_add (char **text, const char *prefix, const char *name,
                     const char *help, uint64_t value);
/* Appends the HELP and TYPE lines of gauge "mimosa_PREFIX_NAME", before its
   values.  */
void mq_metrics_begin_values (char **text, const char *prefix,
                              const char *name, const char *help);
/* Bytes of the value of a label, including the terminator.  */
#define MQ_METRICS_LABEL_MAX 128U
/* Copies NAME as the value of a label; characters that would need an escape
   are replaced, and what is too long is cut off.  */
void mq_metrics_copy_label (char to[MQ_METRICS_LABEL_MAX], const char *name);
/* Appends a value.  LABELS: in Prometheus syntax, not empty.  */
void mq_metrics_labelled (char **text, const char *prefix, const char *name,
                          const char *labels, uint64_t value);

/**
 * struct mq_metrics_family - a histogram with one series per label set
 * @name: full metric name, in seconds
 * @help: one line
 * @per_second: histogram units per second
 * @first_bit: the first bucket bound is 2^@first_bit units; each further one
 *             doubles
 * @last_bit: the last finite bound is 2^@last_bit units
 */
struct mq_metrics_family
{
  const char *name;
  const char *help;
  double per_second;
  uint32_t first_bit;
  uint32_t last_bit;
};

/* Appends the HELP and TYPE lines, before the first series.  */
void mq_metrics_begin (char **text, const struct mq_metrics_family *family);
/* Appends a series.  LABELS: in Prometheus syntax, not empty.  */
void mq_metrics_series (char **text, const struct mq_metrics_family *family,
                        const char *labels,
                        const struct mq_histogram *histogram);
/* Appends processor time, memory and open files of this process.  */
void mq_metrics_add_process (char **text);

#endif
