/* latency_report.h - program latencies as Prometheus text and as JSON.

   Needs: latency.h, jansson.  */

#ifndef MQ_LATENCY_REPORT_H
#define MQ_LATENCY_REPORT_H

#include "core/latency.h"
#include <jansson.h>

/* Appends to *TEXT (talloc) the histogram mimosa_program_latency_seconds, with
   power-of-two bucket bounds, and the programs that ended without an
   answer.  */
void mq_latency_metrics (char **text, const struct mq_latency *latency);
/* [{"service":S,"follow_up":B,"count":N,"p50_ms":N,…}]; the caller owns the
   reference.  */
json_t *mq_latency_json (const struct mq_latency *latency);

#endif
