//! Open-loop load with histograms.
