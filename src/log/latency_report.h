/* latency_report.h - program latency as Prometheus text and as JSON.

   Needs: latency.h, jansson.  */

#ifndef MQ_LATENCY_REPORT_H
#define MQ_LATENCY_REPORT_H

#include "core/latency.h"
#include <jansson.h>

/* Appends mimosa_program_latency_seconds, a histogram with a bound at each
   power of two of microseconds from 1 ms to 1 h, and the programs that
   ended otherwise, to *TEXT (talloc).  */
void mq_latency_metrics (char **text, const struct mq_latency *latency);
/* [{"service":S,"follow_up":B,"count":N,"p50_ms":N,…}], a new reference.  */
json_t *mq_latency_json (const struct mq_latency *latency);

#endif
