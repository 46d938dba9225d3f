package org.auburnstream.bench

/** Every experiment of the command line. */
internal val experiments: List<Experiment> = emptyList()
