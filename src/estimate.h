/* An uncertain value, as Kalman filters keep it. */
#ifndef NM_ESTIMATE_H
#define NM_ESTIMATE_H

typedef struct {
    double mean;
    double variance;
} nm_estimate_t;

#endif
