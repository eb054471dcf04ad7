// Package model is a stand-in model engine.
package model
