/* metrics.h - counters as Prometheus text.

   Needs: talloc.  */

#ifndef MQ_METRICS_H
#define MQ_METRICS_H

#include "../core/types.h"

/* Appends "mimosa_PREFIX_NAME VALUE" with its HELP line to *TEXT (talloc).  */
void mq_metrics_add (char **text, const char *prefix, const char *name,
                     const char *help, uint64_t value);
/* Processor time, memory and open files of this process.  */
void mq_metrics_add_process (char **text);

#endif
