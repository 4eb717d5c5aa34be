/* clock.h - the steady clock and random numbers of a process.

   Needs: the C library.  */

#ifndef MQ_CLOCK_H
#define MQ_CLOCK_H

#include <stdint.h>

/* Steady clock; it does not count time in which the host is suspended.  */
uint64_t mq_clock_us (void);
uint64_t mq_clock_ms (void);
/* The same, counting that time too: for leases.  */
uint64_t mq_clock_boot_ms (void);
/* Time of day, milliseconds since 1970; for logs alone.  */
uint64_t mq_clock_wall_ms (void);
/* Never 0: that stands for "any" where a boot id is meant.  */
uint64_t mq_clock_random (void);

#endif
