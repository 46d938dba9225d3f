package org.auburnstream.bench

import org.apache.commons.math3.stat.regression.SimpleRegression

/**
 * Least-squares line through measured points.
 *
 * @property residual root mean square error in the unit of the measured value.
 * @property rSquared share of the variance that the line explains, 0 to 1.
 */
public data class LinearFit(val slope: Double, val intercept: Double, val residual: Double, val rSquared: Double) {
    /** Value of the line at [x]. */
    public fun at(x: Double): Double = intercept + slope * x
}

/** Fits a line through [y] over [x]; both need the same size of at least three points. */
public fun fitLine(x: List<Double>, y: List<Double>): LinearFit {
    require(x.size == y.size && x.size >= MIN_POINTS) { "${x.size} and ${y.size} points, need $MIN_POINTS or more" }
    val regression = SimpleRegression()
    x.zip(y).forEach { (a, b) -> regression.addData(a, b) }
    return LinearFit(
        slope = regression.slope,
        intercept = regression.intercept,
        residual = kotlin.math.sqrt(regression.meanSquareError),
        rSquared = regression.rSquare,
    )
}

internal const val MIN_POINTS = 3
