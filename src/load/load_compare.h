/* load_compare.h - results of several runs side by side.

   Needs: load_result.h.  */

#ifndef MQ_LOAD_COMPARE_H
#define MQ_LOAD_COMPARE_H

#include "load_result.h"

/* Table of all labels with the spread over their runs, then one line

     bench: PROFILE MEASURE ours=V baseline=NAME:V ratio=R

   for each measure and each label but OURS; lower is better.  Below CTX.  */
char *mq_load_compare (TALLOC_CTX *ctx, const char *ours,
                       const struct mq_load_result *const *results,
                       size_t count);
/* Latency against load and cache in use over time as an SVG text.  */
char *mq_load_plot (TALLOC_CTX *ctx,
                    const struct mq_load_result *const *results, size_t count);

#endif
